#!/bin/sh
# Builds the stand-ins that the cases of REPORT-3.md start. They are Python scripts of the base
# system's interpreter, so there is nothing to compile; this checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
for folder in 11 12 13 14 15; do
  if [ -f "$folder/case.py" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$folder/case.py"
  fi
done
