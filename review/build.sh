#!/bin/sh
# The stand-ins are Python and need no packages: check that all of them compile.
set -e
cd "$(dirname "$0")"
for file in lib/*.py */case.py more/*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
