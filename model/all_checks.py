"""The checks of all models, in the order in which they are reported."""

from __future__ import annotations

from model import acknowledgement, read_your_writes

CHECKS = [*acknowledgement.CHECKS, *read_your_writes.CHECKS]
