"""Starts the edge program from a checkout."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from celeryjunction.platform.edge import main

if __name__ == "__main__":
    sys.exit(main())
