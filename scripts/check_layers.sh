#!/usr/bin/env bash
# Checks that libraries depend on one another in one direction only and include
# each other's public header only.
set -eu
cd "$(dirname "$0")/.."
declare -A allowed=(
    [core]="core"
    [state]="core state"
    [protocol]="core state protocol"
    [transport]="core transport"
    [coordination]="core state protocol transport coordination"
    [platform]="core state protocol transport coordination platform")
bad=0
for library in "${!allowed[@]}"; do
    while IFS=: read -r file line text; do
        target=$(sed -E 's/.*"([a-z]+)\/.*/\1/' <<<"$text")
        header=$(sed -E 's/.*"([^"]+)".*/\1/' <<<"$text")
        [[ -n "${allowed[$target]:-}" ]] || continue
        if ! grep -qw "$target" <<<"${allowed[$library]}"; then
            echo "$file:$line: $library must not depend on $target"
            bad=1
        elif [[ "$target" != "$library" && "$header" != "$target/$target.hpp" ]]; then
            echo "$file:$line: include $target/$target.hpp instead of $header"
            bad=1
        fi
    done < <(grep -nHE '^#include "[a-z]+/' "$library"/*.?pp 2>/dev/null || true)
done
# Names of the hosting platform's wire belong to the adapter, its stand-ins and tests.
if git grep -nE 'kv-(txn|range|watch|lease|keep)|run-start|ack-cursor|op/evacuate|hold-max-ms' \
    -- '*.cpp' '*.hpp' | grep -vE '^(platform|tests|standins)/'; then
    echo "names of the hosting platform stand outside platform/"
    bad=1
fi
exit $bad
