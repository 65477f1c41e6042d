#!/usr/bin/env bash
# Starts and stops a small cluster of separate processes on loopback: a stand-in
# store and instance list, six stand-in workers in two data centres, and three
# daemons. Usage: cluster.sh start BUILD_DIR | stop | restart-daemon N BUILD_DIR |
# restart-worker N BUILD_DIR | restart-store BUILD_DIR | gone N
# Environment: RUN_DIR (default run), PORT_BASE (default 7000).
set -eu
cd "$(dirname "$0")/.."
run=${RUN_DIR:-run}
base=${PORT_BASE:-7000}
daemons=3
workers=6

gateway_port() { echo $((base + $1)); }
control_port() { echo $((base + 100 + $1)); }
peer_port() { echo $((base + 200 + $1)); }
store_port=$((base + 301))
list_port=$((base + 302))

# Starts COMMAND in the background as process NAME.
launch() {
    local name=$1
    shift
    "$@" >>"$run/$name.log" 2>&1 &
    echo $! >"$run/$name.pid"
}

write_settings() {
    cat >"$run/entry-$1.ini" <<INI
[instance]
name = entry-$1
data_centre = dc-$(($1 % 2))
gateway = 127.0.0.1:$(gateway_port "$1")
control = 127.0.0.1:$(control_port "$1")
peer = 127.0.0.1:$(peer_port "$1")

[store]
addresses = 127.0.0.1:$store_port

[platform]
instances = 127.0.0.1:$list_port
instances_interval_ms = 500
instances_lag_ms = 3000

[peers]
addresses = 127.0.0.1:$(peer_port 1), 127.0.0.1:$(peer_port 2), 127.0.0.1:$(peer_port 3)

[scheduler]
shards = 4
INI
}

# Adds or removes (state "gone") an instance in the platform's list.
list_instance() {
    curl -sf -o /dev/null "http://127.0.0.1:$list_port/v1/instances" \
        -d "{\"id\": \"$1\", \"kind\": \"entry\", \"address\": \"127.0.0.1:$2\",
             \"data_centre\": \"dc-0\", \"state\": \"$3\"}"
}

start_daemon() {
    write_settings "$1"
    launch "entry-$1" "$build/godwitcleatd" --settings "$run/entry-$1.ini"
    list_instance "entry-$1" "$(peer_port "$1")" live
}

start_worker() {
    local options=()
    for ((d = 1; d <= daemons; ++d)); do
        options+=(--daemon "127.0.0.1:$(control_port "$d")")
    done
    launch "worker-$1" "$build/standin-worker" --id "worker-$1" \
        --rack "rack-$(($1 / 2))" --data-centre "dc-$(($1 / 2 % 2))" \
        --cpu-milli 8000 --memory-mb 16384 --accelerators 1 \
        --history "$run/worker-$1.history" "${options[@]}"
}

# Waits until COMMAND succeeds, at most 30 s.
wait_for() {
    for _ in $(seq 300); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    echo "timeout: $*" >&2
    return 1
}

# The data file stands for the durability of the platform's store.
start_store() {
    launch store "$build/standin-store" --listen "127.0.0.1:$store_port" \
        --history "$run/store.history" --data "$run/store.data"
}

start() {
    mkdir -p "$run"
    rm -f "$run"/*
    start_store
    launch instances "$build/standin-instances" \
        --listen "127.0.0.1:$list_port" --lag-ms 500
    wait_for curl -sf "http://127.0.0.1:$list_port/v1/instances"
    for ((i = 1; i <= daemons; ++i)); do start_daemon "$i"; done
    for ((i = 0; i < workers; ++i)); do start_worker "$i"; done
    for ((i = 1; i <= daemons; ++i)); do
        wait_for curl -sf "http://127.0.0.1:$(control_port "$i")/ready"
    done
}

stop() {
    for file in "$run"/*.pid; do
        [ -e "$file" ] && kill "$(cat "$file")" 2>/dev/null || true
    done
    for file in "$run"/*.pid; do
        [ -e "$file" ] || continue
        for _ in $(seq 100); do
            kill -0 "$(cat "$file")" 2>/dev/null || break
            sleep 0.1
        done
        rm -f "$file"
    done
}

case ${1:-} in
start) build=${2:?"cluster.sh start BUILD_DIR"} && start ;;
stop) stop ;;
restart-daemon) build=${3:?"cluster.sh restart-daemon N BUILD_DIR"} && start_daemon "$2" ;;
restart-worker) build=${3:?"cluster.sh restart-worker N BUILD_DIR"} && start_worker "$2" ;;
restart-store) build=${2:?"cluster.sh restart-store BUILD_DIR"} && start_store ;;
gone) list_instance "entry-$2" "$(peer_port "$2")" gone ;;
*)
    echo "usage: cluster.sh start BUILD_DIR | stop | restart-daemon N BUILD_DIR |" \
        "restart-worker N BUILD_DIR | restart-store BUILD_DIR | gone N" >&2
    exit 2
    ;;
esac
