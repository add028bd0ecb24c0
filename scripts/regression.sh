#!/usr/bin/env bash
# Plays the standard days of the regression sites on the users' bench and prints one table against the last
# committed figures of each site. Usage: scripts/regression.sh BENCH SITES_FOLDER [WHY]
# BENCH is the bench's program, SITES_FOLDER the folder that holds sites/, grown/, further/ and so on.
# The large deployment takes the place of kvs-zentral, the oldest site. The exit code is 1 where a gate failed
# or the mean worth of the days with trouble fell by more than the noise of a site.
set -euo pipefail
if [ $# -lt 2 ]; then
  sed -n '2,6s/^# //p' "$0" >&2
  exit 2
fi
bench=$(realpath "$1")
sites=$(realpath "$2")
why=${3:-regression runs}
cd "$(dirname "$0")/.."
files=(sites/bqend-rapports.toml grown/kvs-zentral-grown.toml grown/bqend-rapports-grown.toml
  further/ppfc-rinkline.toml further-grown/ppfc-rinkline-grown.toml large/kvs-zentral-large.toml)
before=$(mktemp)
trap 'rm -f "$before"' EXIT
git ls-files journal | grep -E '\.json$' >"$before"
for file in "${files[@]}"; do
  "$bench" score "$sites/$file" --why "$why" >/dev/null
done
python3 scripts/regression_table.py "$before"
