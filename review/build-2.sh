#!/bin/sh
# Builds the programs of the scripts in review/6 to review/10 into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10
do
    if [ -f "$folder/case.cc" ]
    then
        g++ -std=c++20 -O1 -Wall -o "target/review-2/case-${folder#review/}" "$folder/case.cc" -pthread
    fi
done
