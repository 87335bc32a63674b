#!/usr/bin/env bash
# Runs the script of one case: review/run_case.sh N. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run, whatever kept it from running.
set -uo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD/target/deps:$PWD" timeout 110 python3 "review/$1/case.py" &
child=$!
trap 'kill -TERM "$child"' TERM INT
wait "$child"
code=$?
# A signal interrupts the wait, not the child, which still ends its processes.
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  code=$?
done
case "$code" in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
