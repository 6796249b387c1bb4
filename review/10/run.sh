#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=build/review-2/Crash
[ -x "$program" ] && [ -x target/bin/basilpoint-platform ] || { echo "build the deploy file and run review/build-2.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$program" target/bin/basilpoint-platform "$folder" "$here/record.txt"
status=$?
grep "result:" "$here/record.txt"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
