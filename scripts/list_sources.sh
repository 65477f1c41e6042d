#!/usr/bin/env bash
# Prints the C++ files of the project, one a line.
set -eu
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp'
