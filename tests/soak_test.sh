#!/usr/bin/env bash
# A short soak of real processes under seeded faults (CONTRIBUTING.md).
# Guards against tasks that run twice or after their cancellation, refused jobs
# that run, overcommitted workers and lost jobs. The two seeds run at once; seed 2
# begins with a data centre that restarts in silence and is cut off soon after.
set -eu
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
folder="$build/soak_test"
soaks=()
for seed in 1 2; do
    scripts/soak.sh "$build" "$folder/run-$seed" "$seed" --duration-s 25 \
        --instances 3 --workers 8 --clients 4 &
    soaks+=($!)
done
for it in "${soaks[@]}"; do wait "$it"; done
