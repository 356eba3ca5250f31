#!/usr/bin/env bash
# Runs one script of the second review: PROGRAM FOLDER. Ends with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. Ends all processes that it started.
set -uo pipefail
cd "$(dirname "$0")/.."
program=target/review/release/$1
[ -x "$program" ] && [ -x target/release/apricotdale-entry ] || exit 2
set -m
timeout -k 1 110 "$program" "$2/record.txt" &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
