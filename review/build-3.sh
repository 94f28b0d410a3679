#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the shipped
# program. Their stand-ins are one file of Python's standard library
# (review/common-3/rig.py), which comes with the packages of deploy/system.toml
# (libglib2.0-dev needs python3), so only its syntax is checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
