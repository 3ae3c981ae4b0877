"""Runs one scenario: ``python -m bench NAME``."""

from __future__ import annotations

import asyncio
import importlib
import sys

SCENARIOS = (
    "demo",
    "demo-platform",
    "roaming",
    "failover",
    "crossed",
    "overhead",
    "contract-change",
    "drain",
    "store-outage",
    "flood-background",
    "flood-urgent",
    "uneven",
    "proxy-dies",
    "brownout",
    "control",
    "connections",
)


def main() -> int:
    """Run the scenario that the command line names."""
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in SCENARIOS:
        print(f"usage: python -m bench {'|'.join(SCENARIOS)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"bench.{name.replace('-', '_')}")
    asyncio.run(module.run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
