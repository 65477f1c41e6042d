#!/usr/bin/env bash
# Runs the whole path with separate processes and prints each step: publish,
# requests, a batch job, an eviction that resumes, a killed daemon, drain and
# return of a data centre, and the merged time line. Exits non-zero if any step
# goes wrong. Usage: demo.sh BUILD_DIR
set -eu
cd "$(dirname "$0")/.."
build=${1:?"demo.sh BUILD_DIR"}
export RUN_DIR=${RUN_DIR:-run/demo} PORT_BASE=${PORT_BASE:-17000}
export GODWITCLEAT_DAEMON="127.0.0.1:$((PORT_BASE + 101)),127.0.0.1:$((PORT_BASE + 102)),127.0.0.1:$((PORT_BASE + 103))"
ctl="$build/godwitcleatctl"

step() { printf '\n== %s\n' "$*"; }

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# Repeats a command until it succeeds, at most SECONDS.
within() {
    local seconds=$1
    shift
    for _ in $(seq $((seconds * 5))); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.2
    done
    fail "not true within $seconds s: $*"
}

# Succeeds if N runners of the service take requests.
has_runners() {
    [ "$("$ctl" services | grep -c 'climb-desk .* no$')" -eq "$1" ]
}

# Succeeds if no process of a service or job runs in data centre dc-1, whose
# workers are 2 and 3.
dc_1_is_empty() {
    local rows
    rows=$("$ctl" workers) && rows=$(grep ' dc-1 ' <<<"$rows") || return 1
    ! grep -qv ' 0m 0MB 0acc ' <<<"$rows"
}

request() {
    curl -sf --max-time 5 "http://127.0.0.1:$((PORT_BASE + $1))/s/climb-desk/$2"
}

trap 'scripts/cluster.sh stop' EXIT
step "Start a store, an instance list, six workers and three daemons"
scripts/cluster.sh start "$build"
within 20 sh -c "$ctl status | grep -q 'entry-3'"
"$ctl" status

step "Publish the INI files of examples/demo"
"$ctl" check examples/demo
"$ctl" publish examples/demo --author demo
within 20 has_runners 4
"$ctl" services

step "Send requests through every daemon"
for i in 1 2 3; do
    answer=$(request "$i" "reel-$i") || fail "request through daemon $i"
    echo "$answer"
    grep -q "/reel-$i" <<<"$answer" || fail "wrong answer through daemon $i"
done

step "Run a batch job"
"$ctl" submit --id tally-1 --team stock --command "work 1000"
"$ctl" wait tally-1 --timeout-s 30

step "Evict batch work for an urgent job; the evicted work resumes"
for i in 1 2 3 4 5 6; do
    "$ctl" submit --id "survey-$i" --team climb --cpu-milli 5000 --command "work 15000"
done
within 20 sh -c "[ \$($ctl jobs | grep -cE 'survey.*(running|placed)') -ge 5 ]"
"$ctl" submit --id rope-check-1 --team climb --urgent --not-interruptible --cpu-milli 6000 --command "work 1000"
"$ctl" wait rope-check-1 --timeout-s 30

step "Kill daemon 2; no job is lost"
kill -9 "$(cat "$RUN_DIR/entry-2.pid")"
scripts/cluster.sh gone 2
"$ctl" submit --id tally-2 --team stock --cpu-milli 500 --command "work 500"
"$ctl" wait tally-2 --timeout-s 60
scripts/cluster.sh restart-daemon 2 "$build"
within 20 curl -sf "http://127.0.0.1:$((PORT_BASE + 102))/ready"

step "Take data centre dc-1 out, then bring it back"
"$ctl" drain data-centre dc-1 --author demo
within 60 dc_1_is_empty
"$ctl" workers
request 1 while-drained || fail "request while dc-1 is out"
"$ctl" undrain data-centre dc-1 --author demo
within 30 has_runners 4

step "All surveys finish"
for i in 1 2 3 4 5 6; do
    "$ctl" wait "survey-$i" --timeout-s 120
done
grep -l '"event":"started".*"job":"survey' "$RUN_DIR"/worker-*.history >/dev/null ||
    fail "no worker recorded a survey"
resumed=$(cat "$RUN_DIR"/worker-*.history | grep '"event":"started"' |
    grep 'survey' | grep -vc '"progress":0,' || true)
echo "surveys that resumed from a checkpoint: $resumed"
[ "$resumed" -ge 1 ] || fail "no survey was evicted and resumed"

step "Merged time line of the evicted work"
events=$("$ctl" timeline) || fail "time line"
events=$(grep 'survey' <<<"$events") || fail "the time line has no survey"
tail -15 <<<"$events"

step "All steps passed"
