"""A bound on the load that retries add.

An endpoint that fails part of its statements would get several times its load if every
failed read were retried. Retries are therefore limited to a fraction of all reads.
"""

from __future__ import annotations

RETRIES_PER_STATEMENT = 0.2
"""Retries earned by each statement. If one of three endpoints fails half of its reads,
a sixth of all reads fail."""
MAX_TOKENS = 20.0
"""Retries that can be saved up: about what a busy VM needs in a second."""


class RetryBudget:
    """Token bucket for retries, filled by statements.

    ```python
    budget = RetryBudget()
    budget.record_statement()
    budget.try_spend()   # True while a whole token is left
    ```
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_statement(self) -> None:
        """Earn a fraction of a retry with a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + RETRIES_PER_STATEMENT)

    def try_spend(self) -> bool:
        """Spend a token; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
