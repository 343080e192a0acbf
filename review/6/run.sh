#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
python3 case.py &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT
wait "$pid"
code=$?
while kill -0 "$pid" 2>/dev/null; do
    wait "$pid"
    code=$?
done
case "$code" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
