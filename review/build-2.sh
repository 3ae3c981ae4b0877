#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later: the project's own and those in harness2.
# Needs the libraries that the build line of deploy/system.toml puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q src review/harness2
PYTHONPATH=src:target/deps:review python3 -c "import harness2.deployment, harness2.consumers"
