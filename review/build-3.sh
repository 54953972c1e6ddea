#!/bin/sh
# Checks that the stand-ins and cases of review/11 to review/15 can run; they use only the
# standard library and the command and packages of the deploy file.
cd "$(dirname "$0")" || exit 1
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
for file in shared-3/*.py 1[1-5]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" ||
        exit 1
done
