#!/bin/sh
# Usage: repeat.sh CASE: runs a script five times with and five times without its
# disruption and prints the exit codes.
cd "$(dirname "$0")" || exit 2
for trouble in 0 1; do
    codes=""
    for _ in 1 2 3 4 5; do
        TROUBLE=$trouble "$1/run.sh" > /dev/null 2>&1
        codes="$codes $?"
    done
    echo "TROUBLE=$trouble exit codes:$codes"
done
