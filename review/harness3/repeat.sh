#!/usr/bin/env bash
# Runs a case five times and prints each run's last lines: repeat.sh review/N
cd "$(dirname "$0")/../.." || exit 2
for run in 1 2 3 4 5; do
    "$1/run.sh"
    echo "run $run: exit code $?"
done
