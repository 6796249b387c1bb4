#!/usr/bin/env bash
# Checks the sources with clang-format and clang-tidy. "utils/lint.sh format" reformats them instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard -- '*.h' '*.cpp' | while read -r it; do [ -e "$it" ] && echo "$it"; done)
if [ "${1:-}" = format ]; then
    clang-format -i "${sources[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
# clang-tidy runs only on sources that changed since their last clean run: a stamp file is named after the
# key that tidy-key.sh prints.
stamps=${BASILPOINT_TIDY_CACHE:-$HOME/.cache/basilpoint-tidy}
mkdir -p "$stamps"
export stamps
check_one() {
    local source=$1 key
    key=$(utils/tidy-key.sh "$source") || return 1
    [ -e "$stamps/$key" ] && return 0
    clang-tidy --quiet -p build/release "$source" 2>/dev/null || { echo "lint: $source"; return 1; }
    touch "$stamps/$key"
}
export -f check_one
printf '%s\n' "${sources[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'check_one {}'
