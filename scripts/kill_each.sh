#!/usr/bin/env bash
# Kills each process of the demonstration cluster in turn, one cluster for each,
# and checks that no job is lost. The store is started again after 3 s, because
# the cluster has one and the platform's store comes back; the others stay down.
# Usage: kill_each.sh BUILD_DIR [PROCESS...]
set -eu
cd "$(dirname "$0")/.."
build=${1:?"kill_each.sh BUILD_DIR [PROCESS...]"}
shift
processes=("$@")
[ ${#processes[@]} -gt 0 ] ||
    processes=(entry-1 entry-2 entry-3 worker-0 worker-1 worker-2 worker-3
        worker-4 worker-5 instances store)
jobs=8
ctl="$build/godwitcleatctl"

# Succeeds if all jobs finish after process $1 was killed while they ran.
run_without() {
    local victim=$1 port=$2
    export RUN_DIR="run/kill-$victim" PORT_BASE=$port
    export GODWITCLEAT_DAEMON="127.0.0.1:$((port + 101)),127.0.0.1:$((port + 102)),127.0.0.1:$((port + 103))"
    local result=ok began=$SECONDS
    scripts/cluster.sh start "$build"
    "$ctl" publish examples/demo --author kill-each >/dev/null
    for ((i = 1; i <= jobs; ++i)); do
        "$ctl" submit --id "tally-$i" --team stock --cpu-milli 4000 \
            --command "work 4000" >/dev/null || result="refused tally-$i"
    done
    sleep 3
    kill -9 "$(cat "$RUN_DIR/$victim.pid")"
    if [ "$victim" = store ]; then
        sleep 3
        scripts/cluster.sh restart-store "$build"
    fi
    [[ "$victim" != entry-* ]] || scripts/cluster.sh gone "${victim#entry-}"
    for ((i = 1; i <= jobs; ++i)); do
        "$ctl" wait "tally-$i" --timeout-s 120 >/dev/null || result="lost tally-$i"
    done
    scripts/cluster.sh stop
    echo "$victim killed: $result, $((SECONDS - began)) s"
    [ "$result" = ok ]
}

failed=0
port=${PORT_BASE:-21000}
for victim in "${processes[@]}"; do
    run_without "$victim" "$port" || failed=1
done
exit $failed
