#!/usr/bin/env bash
# Runs clang-tidy over the .cc files named, or over all of them. Needs a configured build folder.
# A file that passed is not checked again until it, a header of ours or the settings change.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=${SKYLARKSHUNT_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/skylarkshunt-lint}
mkdir -p "$cache"
headers=$(git ls-files --cached --others --exclude-standard -- '*.h' | sort | xargs cat .clang-tidy | sha256sum)
export cache headers

check_file() {
  local key
  key=$( (echo "$headers $1"; cat "$1") | sha256sum | cut -c1-40)
  [ ! -e "$cache/$key" ] || return 0
  clang-tidy -p build --quiet "$1" 2>/dev/null || return 1
  touch "$cache/$key"
}
export -f check_file

if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cc')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check_file {}'
