#!/usr/bin/env bash
# Tests of godwitcleatctl that need no daemon. They guard against examples that
# the tool refuses, and against exit codes that differ from its help text.
set -eu
build=$1
cd "$(dirname "$0")/.."
unset GODWITCLEAT_DAEMON
ctl=$build/godwitcleatctl
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT

# Runs the tool; fails if the exit code or the output is not the expected one.
expect() {
    local code=$1 pattern=$2
    shift 2
    local status=0
    "$ctl" "$@" >"$folder/output" 2>&1 || status=$?
    if [[ $status -ne $code ]] || ! grep -q -- "$pattern" "$folder/output"; then
        echo "godwitcleatctl $*: exit code $status, expected $code and \"$pattern\":"
        cat "$folder/output"
        exit 1
    fi
}

expect 0 "1 teams, 1 services, 3 jobs" check examples/fellowship
expect 0 "1 teams, 1 services, 1 jobs" check examples/braendli
expect 2 "no \*.ini file" check "$folder"
mkdir "$folder/services"
printf '[service desk]\nteam = crew\nrunners = x\n' >"$folder/services/desk.ini"
expect 2 "desk.ini:3: key \"runners\"" check "$folder"
expect 2 "desk.ini:2: key \"team\" in .* does not exist" check "$folder"
expect 2 "no daemon is named" status
expect 2 "is unknown" frobnicate
expect 2 "wrong number of arguments" cancel
expect 2 "ADDRESS:PORT" --daemon nonsense status
expect 2 "cannot be drained" drain rack r1 --daemon 127.0.0.1:1
expect 2 "\"team\" is missing" submit --daemon 127.0.0.1:1
# Nothing listens on port 1.
expect 3 "cannot be reached" status --daemon 127.0.0.1:1
expect 3 "cannot be reached" cancel job --daemon 127.0.0.1:1 --daemon 127.0.0.1:1
expect 2 "ADDRESS:PORT" status --daemon localhost:1
expect 2 "ADDRESS:PORT" status --daemon 127.0.0.1:99999
expect 2 "use status (see status --help)" status extra --daemon 127.0.0.1:1
expect 2 "frob" status --frob
expect 2 "no command is given"
expect 2 "no command is given" --daemon 127.0.0.1:1
expect 0 "Exit codes" --help
expect 0 "Exit codes" -h
for command in check publish config drain undrain submit cancel jobs wait \
    services workers status metrics timeline; do
    expect 0 "Examples:" "$command" --help
done
echo "passed"
