#!/usr/bin/env bash
# Runs clang-tidy on all sources but those with coroutines, which clang-tidy 14
# cannot parse with libstdc++ 12; cppcheck reads these.
set -eu
build=$1
jobs=${2:-8}
cd "$(dirname "$0")/.."
mapfile -t sources < <(scripts/list_sources.sh | grep '\.cpp$' | grep -v '^tests/')
with_coroutines=$(grep -lE 'co_await|co_return|co_spawn' "${sources[@]}" || true)
printf '%s\n' "${sources[@]}" | grep -vxF "${with_coroutines:-none}" |
    xargs -P "$jobs" -n 2 clang-tidy -p "$build" --quiet --warnings-as-errors='*' --extra-arg=-Wno-unknown-warning-option \
        2> >(grep -vE 'warnings? generated|Suppressed|Use -header-filter' >&2)
if [[ -n "$with_coroutines" ]]; then
    cppcheck --std=c++20 --enable=warning,performance,portability --inline-suppr \
        --suppress=missingInclude --suppress=unknownMacro --suppress=internalAstError \
        --error-exitcode=1 --quiet -I . $with_coroutines
fi
