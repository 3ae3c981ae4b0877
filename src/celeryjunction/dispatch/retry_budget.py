"""A bound on the load that retries add.

Answers the load of endpoints that fail part of their statements: a failed read is sent
again, but no more of them than a part of all reads, so that failing endpoints do not
get several times their load.
"""

from __future__ import annotations

RATIO = 0.2
"""Retries for each statement. Three endpoints of which one fails half of its reads fail
a sixth of all."""
MOST = 20.0
"""Retries that may be saved up: about a second's of one busy VM."""


class RetryBudget:
    """Tokens for retries, earned by statements.

    ```python
    budget = RetryBudget()
    budget.note_statement()
    budget.take()   # True while there are tokens
    ```
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MOST

    def note_statement(self) -> None:
        """Earn a part of a retry with a first try."""
        self._tokens = min(MOST, self._tokens + RATIO)

    def take(self) -> bool:
        """Spend a retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
