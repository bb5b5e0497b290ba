#!/usr/bin/env bash
# Checks that the stand-ins of the scripts in review/6 to review/10 can be run. They are Python
# modules, which need no build; the scripts start no other program than the one that the build line
# of deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x ../target/dandelionslip-platform
