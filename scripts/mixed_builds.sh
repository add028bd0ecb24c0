#!/usr/bin/env bash
# Runs nodes of two builds in one deployment and checks the promises, in both protocols: the soak (packet flows)
# with some seeds and the demonstration (caller protocol). Usage: scripts/mixed_builds.sh OLD_BUILD NEW_BUILD [SEEDS]
# Each start of a daemon takes the other build than the last start with the same settings file, and neighbouring
# files begin with different builds, so that a restart also hands over to the other build. Ends with 1 where a run failed.
set -euo pipefail
if [ $# -lt 2 ]; then
  sed -n '2,5s/^# //p' "$0" >&2
  exit 2
fi
old=$(realpath "$1")/bin
new=$(realpath "$2")/bin
seeds=${3:-5}
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkdir "$folder/bin" "$folder/starts"
for program in "$new"/*; do
  [ "$(basename "$program")" = skylarkshuntd ] || cp "$program" "$folder/bin/"
done
cat >"$folder/bin/skylarkshuntd" <<EOF
#!/usr/bin/env bash
name=\$(basename "\${SKYLARKSHUNT_NODE_FILE:-\$(printf '%s\n' "\$@" | grep -A1 -x -- --settings | tail -n 1)}")
digits=\${name//[!0-9]/}
starts="$folder/starts/\$name"
echo >>"\$starts"
count=\$((10#\${digits:-0} + \$(wc -l <"\$starts")))
if [ \$((count % 2)) -eq 0 ]; then build=$old; else build=$new; fi
echo "\$name \$build" >>"$folder/starts.log"
exec "\$build/skylarkshuntd" "\$@"
EOF
chmod +x "$folder/bin/skylarkshuntd"
failed=0
"$folder/bin/skylarkshunt-soak" --seed 1 --seeds "$seeds" --seconds 12 --work "$folder/soak" || failed=1
"$folder/bin/skylarkshunt-demo" --programs "$folder/bin" || failed=1
for build in "$old" "$new"; do
  echo "starts of $build: $(grep -c " $build\$" "$folder/starts.log" || true)"
done
exit "$failed"
