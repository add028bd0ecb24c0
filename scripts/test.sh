#!/usr/bin/env bash
# Installs the packages, builds everything and runs every test. The exit code is the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
cmake --preset release
cmake --build --preset release
ctest --test-dir build --output-on-failure -j 4
