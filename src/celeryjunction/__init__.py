"""A database proxy with session consistency."""

from __future__ import annotations

__version__ = "0.1.0"
