#!/usr/bin/env bash
# Runs the fault soak with seeds: soak.sh BUILD FOLDER "SEEDS" [OPTION...].
# Options are those of the program soak. Keeps the folder of a seed that fails.
set -eu
build=$1 folder=$2 seeds=$3
shift 3
failed=
mkdir -p "$folder"
for seed in $seeds; do
    if "$build/soak" --daemon "$build/godwitcleatd" --folder "$folder/$seed" \
        --seed "$seed" "$@" >"$folder/$seed.log" 2>&1; then
        rm -r "${folder:?}/$seed"
    else
        failed="$failed $seed"
    fi
    tail -n 1 "$folder/$seed.log"
done
[ -z "$failed" ] && exit 0
echo "FAILED: seeds$failed; logs and histories are in $folder" >&2
for seed in $failed; do head -n 80 "$folder/$seed.log" >&2; done
exit 1
