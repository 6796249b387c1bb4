#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bin/basilpoint-platform ] && [ -x review/bin/memory ] || exit 2
timeout -k 2 115 review/bin/memory review/5/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
