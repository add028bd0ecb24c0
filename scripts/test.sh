#!/usr/bin/env bash
# Installs the packages, builds everything and runs every test. The exit code is the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake --preset release
cmake --build --preset release

# Tests listed in KNOWN-RED.txt ("test: NAME" lines) fail because of a known fault. They run and are
# printed, but do not change the verdict; all others must pass.
known_red=()
if [ -e KNOWN-RED.txt ]; then
  mapfile -t known_red < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
if [ "${#known_red[@]}" -gt 0 ]; then
  pattern="^($(IFS='|'; echo "${known_red[*]}"))\$"
  echo "known red: ${known_red[*]}"
  ctest --test-dir build -R "$pattern" -j 2 || true
  ctest --test-dir build --output-on-failure -j 3 -E "$pattern"
else
  ctest --test-dir build --output-on-failure -j 3
fi
