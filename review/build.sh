#!/bin/sh
# Builds the stand-ins that the scripts start; the build line of the deploy file has
# to be run before.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:review python3 -m compileall -q review src/celeryjunction
PYTHONPATH=target/deps:src:review python3 -S -c 'import harness.deployment'
