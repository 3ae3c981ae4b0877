#!/usr/bin/env bash
# Builds what the scripts of the third review start, beside the build of the deploy file:
# the project's stand-in of the platform and the harness, which are Python sources.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q src/celeryjunction review/harness3
PYTHONPATH="src:target/deps:review" python3 -c "import harness3.edges"
