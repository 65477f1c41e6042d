#!/usr/bin/env bash
# Builds the stand-ins of review 3 against the libraries in target/, which the
# build command of deploy/system.toml leaves there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -I. -o target/review-3/standin-3 -x c++ review/standin-3/main.cc -x none \
    -Ltarget -lplatform -lcoordination -ltransport -lprotocol -lstate -lcore \
    -lfmt -linih -lssl -lcrypto -lpthread
