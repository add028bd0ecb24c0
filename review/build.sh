#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python without any package, so that this only checks the interpreter
# and the syntax. The project's own stand-ins are not used. The nodes come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standins"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed" >&2; exit 1; }
for file in *.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
