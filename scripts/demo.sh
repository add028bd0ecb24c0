#!/usr/bin/env bash
# Installs the packages, builds everything and runs the local demonstration, which ends by itself.
# The exit code is the verdict: not 0 on wrong, missing or doubled requests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake --preset release
cmake --build --preset release
exec build/bin/skylarkshunt-demo "$@"
