"""The checks of all models, in the order in which they are reported."""

from __future__ import annotations

from model import (
    acknowledgement,
    allotments,
    answers,
    at_most_once,
    confirmed_commits,
    contracts,
    fencing_tokens,
    late_promotion,
    lost_member,
    lost_write,
    member_restarts,
    promotion,
    promotion_calls,
    quota,
    read_your_writes,
    unread_register,
)

MODULES = (
    acknowledgement,
    read_your_writes,
    lost_write,
    at_most_once,
    contracts,
    quota,
    promotion,
    confirmed_commits,
    late_promotion,
    member_restarts,
    lost_member,
    unread_register,
    fencing_tokens,
    promotion_calls,
    answers,
    allotments,
)
CHECKS = [check for module in MODULES for check in module.CHECKS]
