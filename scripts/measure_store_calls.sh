#!/usr/bin/env bash
# Counts the platform calls of a region with ENTRIES entries, all at rest, over SECONDS, and prints one
# JSON line. Needs a built tree. It ends the processes that it started by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${1:?usage: measure_store_calls.sh ENTRIES [SECONDS]}
seconds=${2:-30}
platform=127.40.1.1:9000
folder=$(mktemp -d)
pids=()
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$folder"
}
trap stop_all EXIT

build/bin/standin_platform --listen "$platform" >"$folder/platform.log" 2>&1 &
pids+=($!)
until grep -q '^ready' "$folder/platform.log"; do
  kill -0 "${pids[0]}"
  sleep 0.1
done
for i in $(seq "$entries"); do
  address=127.40.0.$i
  cat >"$folder/$i.json" <<EOF
{"role": "entry", "region": "ch-nord", "data_centre": "zh-a", "data": "$address:7000",
 "control": "$address:7001", "admin": "$address:7002", "platform": "$platform",
 "seeds": ["127.40.0.1:7001"]}
EOF
  build/bin/skylarkshuntd --settings "$folder/$i.json" >"$folder/$i.log" 2>&1 &
  pids+=($!)
done

cpu_ticks() { awk '{print $14 + $15}' "/proc/${pids[1]}/stat"; }
# The watchers hold their role for a second and the directory settles within two of its intervals.
sleep 25
before=$(curl -sf "http://$platform/calls")
ticks=$(cpu_ticks)
sleep "$seconds"
after=$(curl -sf "http://$platform/calls")
ticks=$(($(cpu_ticks) - ticks))
resident=$(awk '/^VmRSS/ {print $2}' "/proc/${pids[1]}/status")
echo "{\"entries\":$entries,\"seconds\":$seconds,\"calls_before\":$before,\"calls_after\":$after,\"entry_resident_kib\":$resident,\"entry_cpu_ms_per_second\":$((ticks * 1000 / $(getconf CLK_TCK) / seconds))}"
