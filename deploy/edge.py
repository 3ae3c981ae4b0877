"""Starts the edge program from a source checkout."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# The default action of SIGHUP ends the process. One that arrives during the imports can
# be ignored, because the settings are read after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from celeryjunction.platform.edge import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
