#!/bin/sh
# Plays the case once; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
PYTHONDONTWRITEBYTECODE=1 python3 case.py
status=$?
# An error of the script itself is no verdict.
grep -q "  verdict  " record.txt 2>/dev/null || exit 2
exit $status
