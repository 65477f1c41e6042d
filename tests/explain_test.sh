#!/usr/bin/env bash
# Runs daemons against the platform stand-in and checks that the output of
# `godwitcleatctl explain` leads from a job's id to the cause of its failure, for
# the three kinds of failure described in docs/OPERATIONS.md. Guards against
# decisions that are not logged and log lines that do not state the cause.
set -eu
build=$1
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
base=27600
pids=()
stop() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -r "$folder"
}
trap stop EXIT

cat >"$folder/config.json" <<'JSON'
{"version":2,"routes":[{"name":"checks","host":"desk.example","prefix":"/jobs/","kind":"non_idempotent",
"timeout-ms":3000,"target-duration-ms":500,"priority":0,"service":"svc","attempts":3,"stretch":2.0}],
"services":[],"limits":{"body-bytes":65536}}
JSON
"$build/standin-platform" --listen "127.0.0.1:$base" >"$folder/store.log" 2>&1 &
store=$!
pids+=("$store")
sleep 0.3
"$build/standin-platform" --store "127.0.0.1:$base" --config "$folder/config.json" \
    --workers 3 >"$folder/workers.log" 2>&1 &
pids+=($!)
declare -A daemon
for i in 1 2; do
    cat >"$folder/entry-$i.ini" <<INI
[instance]
name = entry-$i
data_centre = dc-1
gateway = 127.0.0.1:$((base + 10 + i))
peer = 127.0.0.1:$((base + 20 + i))
control = 127.0.0.1:$((base + 30 + i))
[store]
addresses = 127.0.0.1:$base
timeout_ms = 500
[hosted]
readiness = 127.0.0.1:$((base + 40 + i))
metrics = 127.0.0.1:$((base + 50 + i))
lease_limit_ms = 2000
owner_lease_ms = 1500
[limits]
threads = 1
INI
    "$build/godwitcleatd" --settings "$folder/entry-$i.ini" >"$folder/entry-$i.log" 2>&1 &
    daemon[$i]=$!
    pids+=("${daemon[$i]}")
done

fail() {
    echo "FAILED: $*"
    tail -n 30 "$folder"/entry-*.log
    exit 1
}
# Retries a command until it succeeds; fails the test after 20 s.
within() {
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.2
    done
    fail "not true within 20 s: $*"
}
# Submits a job through daemon $1: id $2, command $3. Prints the HTTP status.
submit() {
    curl -s -o /dev/null -w '%{http_code}' --max-time 5 -H 'Host: desk.example' \
        -d "{\"spec\":\"$3\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem-mb\":100,\"estimate-ms\":100}]}" \
        "http://127.0.0.1:$((base + 10 + $1))/jobs/$2"
}
has_state() {
    curl -s -H 'Host: desk.example' "http://127.0.0.1:$((base + 10 + $1))/jobs/$2" | grep -q "\"$3\""
}
accepted() { [ "$(submit "$@")" = 200 ]; }
explain() { "$build/godwitcleatctl" explain "$1" "$folder"/entry-*.log; }
# Fails unless the output of explain for job $1 has lines that match the
# patterns, in this order.
expect() {
    local job=$1 text
    shift
    text=$(explain "$job") || fail "explain $job"
    printf '%s\n\n' "$text"
    local rest=$text
    for pattern in "$@"; do
        grep -q -- "$pattern" <<<"$rest" || { echo "$text"; fail "no \"$pattern\" for $job"; }
        rest=$(sed "0,/$pattern/d" <<<"$rest")
    done
}

for i in 1 2; do
    within curl -sf "http://127.0.0.1:$((base + 40 + i))/api/ready"
done
within accepted 1 00000000000000a0 "work 50"
within has_state 2 00000000000000a0 completed
expect 00000000000000a0 "Job was submitted. .* queue=checks .* config=2" "Tasks start. .* tasks=1" "Job ended. .* phase=completed"

# 1. A job fails because each of its runs fails.
accepted 2 00000000000000b0 "fail" || fail "submit of a job that fails"
within has_state 1 00000000000000b0 failed
expect 00000000000000b0 "A run has failed. .* worker=i-" "A run has failed. .* failures=3" "Job ended. .* phase=failed"

# 2. A job ends late because the owner of the jobs is killed while it runs.
owner=$(grep -l "This instance owns the jobs" "$folder"/entry-*.log | head -n 1)
owner=${owner##*entry-}
owner=${owner%.log}
other=$((3 - owner))
accepted "$owner" 00000000000000c0 "work 300" || fail "submit before the take-over"
kill -9 "${daemon[$owner]}"
within has_state "$other" 00000000000000c0 completed
expect 00000000000000c0 "Job was submitted." "term: This instance owns the jobs. term=2" "Jobs are loaded." "Job ended. .* phase=completed"

# 3. A submit is refused because the store is down.
kill -STOP "$store"
status=$(submit "$other" 00000000000000d0 "work 50") || true
kill -CONT "$store"
[ "$status" = 503 ] || [ "$status" = 504 ] || fail "status $status while the store is down"
expect 00000000000000d0 "Job call failed. call=submit job=00000000000000d0 status=$status .* reason="

# The metrics include these calls.
page=$(curl -s "http://127.0.0.1:$((base + 50 + other))/metrics") || fail "metrics"
for line in "# TYPE godwitcleat_job_calls_total counter" 'godwitcleat_job_calls_total{call="submit",status="5' \
    'godwitcleat_job_to_end_seconds_bucket{le="+Inf"}' 'godwitcleat_store_calls_total{kind="write",status="200"}' \
    'godwitcleat_take_overs_total 1' 'godwitcleat_config_version 2' 'godwitcleat_process_cpu_seconds '; do
    grep -qF "$line" <<<"$page" || { echo "$page"; fail "no line $line in the metrics"; }
done
echo "passed"
