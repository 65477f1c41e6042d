#!/usr/bin/env bash
# Tests godwitcleatctl without a daemon. Guards against example configurations
# that the tool rejects and exit codes that differ from its help text.
set -eu
build=$1
cd "$(dirname "$0")/.."
unset GODWITCLEAT_DAEMON
ctl=$build/godwitcleatctl
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT

# expect CODE PATTERN ARGUMENT...: runs the tool and checks its exit code and
# that its output matches PATTERN.
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
    services workers status metrics timeline explain; do
    expect 0 "Examples:" "$command" --help
done
# explain merges the log lines of a job from all instances in order of time.
printf '%s\n' "2026-12-04T13:00:01.000000Z info dispatch: Job ended. job=j1 phase=failed" \
    "2026-12-04T13:00:01.500000Z info dispatch: A worker is avoided because its runs fail. worker=w1 failures=2" \
    "2026-12-04T13:00:01.600000Z info dispatch: A worker is avoided because its runs fail. worker=w2 failures=2" \
    "2026-12-04T13:09:00.000000Z info term: This instance owns the jobs. term=2" >"$folder/a.log"
printf '%s\n' "2026-12-04T13:00:00.000000Z info dispatch: A run has failed. job=j1 worker=w1" \
    "2026-12-04T13:00:00.500000Z info dispatch: A run has failed. job=j12 worker=w2" >"$folder/b.log"
expect 0 "^\* a.log: .*Job ended. job=j1 " explain j1 "$folder/a.log" "$folder/b.log"
head -1 "$folder/output" | grep -q '^\* b.log: .*A run has failed. job=j1 '
grep -q '^  a.log: .*worker=w1' "$folder/output"
! grep -qE 'worker=w2|term=2' "$folder/output"
expect 1 "no line names job j3" explain j3 "$folder/a.log"
expect 2 "cannot open" explain j1 "$folder/absent.log"
echo "passed"
