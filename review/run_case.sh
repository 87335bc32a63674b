#!/usr/bin/env bash
# Runs the script of one case: review/run_case.sh N. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" timeout 110 python3 "review/$1/case.py"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
