#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review; needs g++ and nlohmann-json3-dev only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
    [[ -e $source ]] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/support "$source" -o "target/review/case$number"
done
