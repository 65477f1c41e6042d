#!/usr/bin/env bash
# A short soak of real processes under seeded faults (CONTRIBUTING.md).
# Guards against tasks that run twice or after their cancellation, refused jobs
# that run, overcommitted workers and lost jobs. Two seeds run at once; seed 6
# plays data centres that restart in silence and are cut off soon after.
set -eu
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
folder="$build/soak_test"
soaks=()
for seeds in "1 2" 6; do
    scripts/soak.sh "$build" "$folder/run-${seeds% *}" "$seeds" --duration-s 25 \
        --instances 3 --workers 8 --clients 4 &
    soaks+=($!)
done
for it in "${soaks[@]}"; do wait "$it"; done
