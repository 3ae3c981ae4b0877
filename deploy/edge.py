"""Starts the edge program from a checkout."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# A reload that is asked for during the imports would end the process; the settings are
# read after them anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from celeryjunction.platform.edge import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
