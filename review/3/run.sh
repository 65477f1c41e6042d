#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit codes: 1 the rule was broken, 0 it
# held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[[ -x target/godwitcleatd && -x target/review/case$number ]] || {
    echo "build first: the command of deploy/system.toml, then review/build.sh"
    exit 2
}
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 115 "target/review/case$number" "review/$number" "$temporary"
code=$?
[[ $code == 0 || $code == 1 ]] || code=2
exit $code
