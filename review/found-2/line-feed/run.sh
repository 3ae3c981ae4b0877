#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../../.." || exit 2
PYTHONPATH=src:target/deps:review exec python3 review/found-2/line-feed/run.py
