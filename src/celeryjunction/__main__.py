"""Runs the command line with ``python -m celeryjunction``."""

from __future__ import annotations

from celeryjunction.cli import main

if __name__ == "__main__":
    main()
