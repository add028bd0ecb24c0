#!/usr/bin/env bash
# Formats every C++ file; with --check it changes nothing and fails where a file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" != "--check" ] || mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard -- '*.cc' '*.h' |
  while read -r file; do if [ -e "$file" ]; then echo "$file"; fi; done |
  xargs -r clang-format "${mode[@]}"
