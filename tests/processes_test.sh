#!/usr/bin/env bash
# Runs a cluster of processes under load while daemons and a worker are killed,
# paused and stopped, the store fails, and a data centre is drained and
# undrained. Then checks the histories recorded by workers and callers with
# history-check. Guards against jobs that run twice or get lost, overcommitted
# workers, POST requests that run twice, requests that ran although they were
# refused as not run, responses sent to the wrong request, planned stops that
# interrupt requests, task starts in a drained data centre or of a finished job,
# and lost updates when operators publish concurrently. Waits poll a condition;
# only the faults have fixed durations.
set -eu
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
export RUN_DIR="$build/processes_test" PORT_BASE=${PORT_BASE:-27000}
export GODWITCLEAT_DAEMON="127.0.0.1:$((PORT_BASE + 101)),127.0.0.1:$((PORT_BASE + 102)),127.0.0.1:$((PORT_BASE + 103))"
ctl="$build/godwitcleatctl"
check="$build/history-check"
marks="$RUN_DIR/marks.history"
demo=$(mktemp -d)
caller_pid=
jobs=()

step() { printf '== %4d s %s\n' "$SECONDS" "$*"; }

fail() {
    echo "FAILED: $*; logs and histories are in $RUN_DIR" >&2
    exit 1
}

pid_of() { cat "$RUN_DIR/$1.pid"; }

is_gone() { ! kill -0 "$1" 2>/dev/null; }

# within SECONDS COMMAND...: retries a command until it succeeds; fails the test
# after SECONDS.
within() {
    local limit=$1 end=$((SECONDS + $1))
    shift
    until "$@" >"$RUN_DIR/within.log" 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "not true within $limit s: $*"
        sleep 0.2
    done
}

has_runners() { [ "$("$ctl" services | grep -c 'climb-desk .* no$')" -eq "$1" ]; }

dc_1_is_empty() { ! "$ctl" workers | grep ' dc-1 ' | grep -qv ' 0m 0MB 0acc '; }

is_ready() { curl -sf --max-time 2 "http://127.0.0.1:$((PORT_BASE + 100 + $1))/ready"; }

# Succeeds if a worker has recorded the start of a task of job $1.
has_started() {
    cat "$RUN_DIR"/worker-*.history | grep '"event":"started"' | grep -q "\"job\":\"$1\""
}

store_fault() { curl -sf -o /dev/null "http://127.0.0.1:$((PORT_BASE + 301))/fault" -d "$1"; }

# submit ID WORK_MS CPU_MILLI: submits a job; a repeated submit is idempotent.
submit() {
    within 60 timeout 20 "$ctl" submit --id "$1" --team stock --cpu-milli "$3" \
        --command "work $2"
    jobs+=("$1")
}

# Adds a mark for each job that the daemons report as finished. Only the first
# mark of a job counts.
mark_finished() {
    local job
    "$ctl" jobs >"$RUN_DIR/jobs.log" 2>&1 || return 0
    for job in $(awk '$4 == "finished" { print $1 }' "$RUN_DIR/jobs.log"); do
        "$check" "$marks" --mark-finished "$job"
    done
}

# race NAME N ARGUMENT...: runs the tool with author NAME against daemon N;
# writes its output to NAME.race and its exit code to NAME.status.
race() {
    local name=$1 daemon=$2 status=0
    shift 2
    "$ctl" --daemon "127.0.0.1:$((PORT_BASE + 100 + daemon))" "$@" \
        --author "$name" >"$RUN_DIR/$name.race" 2>&1 || status=$?
    echo "$status" >"$RUN_DIR/$name.status"
}

in_force() { "$ctl" config --document | tr -d ' \n' | grep -qE "$1"; }

cleanup() {
    rm -r "$demo"
    local pids
    pids=$(cat "$RUN_DIR"/*.pid 2>/dev/null || true)
    for pid in $pids $caller_pid; do kill -CONT "$pid" 2>/dev/null || true; done
    scripts/cluster.sh stop
    for pid in $pids $caller_pid; do kill -9 "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT

step "Start the cluster, publish, submit jobs and start the caller"
scripts/cluster.sh start "$build"
within 60 sh -c "$ctl status | grep -q entry-3"
within 60 "$ctl" publish examples/demo --author test
within 60 has_runners 4
for i in 1 2 3 4 5 6 7 8; do submit "survey-$i" 20000 3000; done
"$build/standin-caller" --gateway "127.0.0.1:$((PORT_BASE + 1))" \
    --gateway "127.0.0.1:$((PORT_BASE + 2))" --gateway "127.0.0.1:$((PORT_BASE + 3))" \
    --service climb-desk --duration-ms 280000 --rate 100 --in-flight 64 \
    --post-share 0.5 --history "$RUN_DIR/caller.history" --seed 1 \
    >"$RUN_DIR/caller.log" 2>&1 &
caller_pid=$!
within 60 has_started survey-8

step "Kill daemon 2 and restart it"
kill -9 "$(pid_of entry-2)"
scripts/cluster.sh gone 2
submit tally-1 500 500
sleep 2
scripts/cluster.sh restart-daemon 2 "$build"
within 60 is_ready 2

step "Pause daemon 3 for 9 s, longer than its store lease of 6 s"
kill -STOP "$(pid_of entry-3)"
submit tally-2 500 500
sleep 9
kill -CONT "$(pid_of entry-3)"
within 60 is_ready 3

step "Kill worker 1 and restart it"
# The worker is paused before the mark is written, because a task end recorded
# between the mark and the kill would count as recorded by a dead worker.
kill -STOP "$(pid_of worker-1)"
"$check" "$marks" --mark-killed worker-1
kill -9 "$(pid_of worker-1)"
submit tally-3 500 500
scripts/cluster.sh restart-worker 1 "$build"

step "Take the store down for 4 s, then let it lose replies"
store_fault '{"down": true}'
sleep 4
store_fault '{"lose_replies": 8}'
for i in 1 2 3 4 5 6; do submit "haul-$i" 8000 3000; done

step "A drain of an unknown worker is accepted with a warning"
within 60 "$ctl" drain worker no-such --author test
grep -q "no known worker matches worker no-such" "$RUN_DIR/within.log" || fail "no warning"
within 60 "$ctl" undrain worker no-such --author test

step "Drain data centre dc-1 and bring it back"
within 60 has_started haul-6
mark_finished
cp examples/demo/*.ini "$demo"
printf '[team night]\ncpu_milli = 1000\nmemory_mb = 1024\n' >"$demo/night.ini"
race ann 1 drain data-centre dc-1 &
racers=$!
race bob 2 drain data-centre dc-2 &
racers="$racers $!"
race cid 3 publish "$demo" &
racers="$racers $!"
# shellcheck disable=SC2086 # One word for each process.
wait $racers
within 60 "$ctl" drain data-centre dc-1 --author test
"$check" "$marks" --mark-drained dc-1
for name in ann bob cid; do
    echo "$name: $(cat "$RUN_DIR/$name.status") $(tr '\n' ' ' <"$RUN_DIR/$name.race")"
done
for name in ann bob; do
    [ "$(cat "$RUN_DIR/$name.status")" -eq 0 ] || fail "the drain of $name was refused"
done
# A daemon reads a change within a second; a lost change never appears.
within 10 in_force '"drained_data_centres":\["dc-1","dc-2"\]'
case $(cat "$RUN_DIR/cid.status") in
0) within 10 in_force '"night"' ;;
4) grep -qE ' [0-9]+ (ann|bob): data-centre' "$RUN_DIR/cid.race" ||
    fail "the conflict message does not name the change published before" ;;
*) fail "the publish failed with $(cat "$RUN_DIR/cid.race")" ;;
esac
within 60 dc_1_is_empty
submit tally-4 500 500
# Leaves time for task starts in dc-1 that would come too late.
sleep 5
"$check" "$marks" --mark-undrained dc-1
within 60 "$ctl" undrain data-centre dc-1 --author test
within 60 "$ctl" undrain data-centre dc-2 --author test
within 60 has_runners 4

step "Stop daemon 1 by SIGTERM under load"
mark_finished
"$check" "$marks" --mark-stopping "127.0.0.1:$((PORT_BASE + 1))"
stopping_pid=$(pid_of entry-1)
kill -TERM "$stopping_pid"
submit tally-5 500 500
within 60 is_gone "$stopping_pid"
sleep 1
"$check" "$marks" --mark-stopped "127.0.0.1:$((PORT_BASE + 1))"
scripts/cluster.sh restart-daemon 1 "$build"
within 60 is_ready 1

step "All jobs finish"
finished=()
for job in "${jobs[@]}"; do
    "$ctl" wait "$job" --timeout-s 120 >/dev/null || fail "job $job did not finish"
    "$check" "$marks" --mark-finished "$job"
    finished+=(--finished "$job")
done
kill -TERM "$caller_pid"
wait "$caller_pid" || fail "the caller failed"
caller_pid=

step "Check the histories"
"$check" "$RUN_DIR"/worker-*.history "$RUN_DIR/caller.history" "$marks" \
    --planned-stop "127.0.0.1:$((PORT_BASE + 1))" "${finished[@]}" ||
    fail "the histories violate a rule"
[ "$(grep -c '"event":"drained"' "$marks")" -eq 1 ] || fail "the marks do not contain exactly one drain"
# Most rules hold trivially if hardly any request succeeded.
ok=$(grep -c '"status":200' "$RUN_DIR/caller.history")
sent=$(grep -c '"event":"invoked"' "$RUN_DIR/caller.history")
[ "$ok" -ge $((sent / 2)) ] || fail "only $ok of $sent requests succeeded"

step "Check that history-check rejects the histories with one bad line added"
post=$(grep '"type":"request"' "$RUN_DIR"/worker-*.history -h |
    grep '"event":"started"' | grep '"method":"POST"' | head -1)
echo "$post" >"$RUN_DIR/bad.history"
if "$check" "$RUN_DIR"/worker-*.history "$RUN_DIR/caller.history" "$marks" \
    "$RUN_DIR/bad.history" >"$RUN_DIR/bad.log"; then
    fail "a POST that ran twice was accepted"
fi
grep -q "rule post-ran-twice" "$RUN_DIR/bad.log" || fail "wrong rule in bad.log"
late=$(grep -h '"type":"task"' "$RUN_DIR"/worker-*.history | grep '"event":"finished"' |
    grep '"job":"tally-1"' | head -1 | sed 's/"event":"finished"/"event":"started"/; s/"at_us":[0-9]*/"at_us":9000000000000000/; s/"attempt":[0-9]*/"attempt":99/; s/"progress":[0-9]*/"progress":0/')
echo "$late" >"$RUN_DIR/bad.history"
if "$check" "$RUN_DIR"/worker-*.history "$RUN_DIR/caller.history" "$marks" \
    "$RUN_DIR/bad.history" >"$RUN_DIR/bad.log"; then
    fail "a start after the stored finish was accepted"
fi
grep -q "rule start-after-finish" "$RUN_DIR/bad.log" || fail "wrong rule in bad.log"
step "Passed"
