#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. The record is written to record.txt, here.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$here/record.txt
export TROUBLE RECORD
exec python3 -B "$here/case.py"
