#!/usr/bin/env bash
# Plays the case "pending" of the stand-ins in review/standin-3; claim.txt says what
# is shown. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
if [ ! -x target/review-3/standin-3 ] || [ ! -x target/godwitcleatd ]; then
    echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
timeout -k 2 115 target/review-3/standin-3 pending review/14/record.txt "$folder"
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
