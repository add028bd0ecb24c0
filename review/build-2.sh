#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for part in http sockets flows deployment; do
  g++ -std=c++17 -O1 -g1 -Wall -Wextra -pthread -c "review/standins-2/$part.cc" -o "$out/$part.o" &
  parts+=($!)
done
for part in "${parts[@]}"; do wait "$part"; done
for program in review/standins-2/*_case.cc; do
  name=$(basename "$program" .cc)
  g++ -std=c++17 -O1 -g1 -Wall -Wextra -pthread "$program" "$out"/{http,sockets,flows,deployment}.o -o "$out/$name"
done
