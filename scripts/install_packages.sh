#!/usr/bin/env bash
# Installs every package that the build, the tests and the demonstration need on Debian 12.
# Stops at the first package that cannot be installed.
set -euo pipefail

packages=(
  build-essential ccache cmake ninja-build clang-format clang-tidy
  libabsl-dev
  libboost-dev libboost-program-options-dev
  libwebsocketpp-dev
  nlohmann-json3-dev
  libcpp-httplib-dev
  libgoogle-glog-dev
  libcppunit-dev
  libxxhash-dev
  libunwind-dev
  libzstd-dev
  libplplot-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  echo "all packages are installed"
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
