"""Compares the fencing tokens of a group's promotion calls, in order of arrival."""

from __future__ import annotations

from collections.abc import Iterable

from celeryjunction.platform.standin import PromotionCall


def find_token_violations(calls: Iterable[PromotionCall]) -> list[str]:
    """Return a line for each token that is lower than one before, or another VM's.

    A VM may repeat its call under the same token.
    """
    highest: dict[str, PromotionCall] = {}
    violations = []
    for call in calls:
        before = highest.get(call.group)
        token = int(call.fencing_token)
        if before is None or token > int(before.fencing_token):
            highest[call.group] = call
        elif token < int(before.fencing_token) or call.holder != before.holder:
            violations.append(
                f"group {call.group}: token {token} of {call.holder} after "
                f"{before.fencing_token} of {before.holder}"
            )
    return violations
