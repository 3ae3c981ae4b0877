"""Check all models and print one line for each property and each left-out rule.

The exit code is 1 if a property fails, a left-out rule is not refuted, or the checker
gives up at its limit of states.
"""

from __future__ import annotations

import sys

from model.all_checks import CHECKS
from model.checks import Outcome, run


def format_outcome(outcome: Outcome) -> str:
    """Return the report line of one check."""
    check = outcome.check
    verdict = {True: "holds", False: "refuted", None: "undecided"}[outcome.holds]
    text = (
        f"model={check.model} property={check.prop} states={outcome.states} "
        f"exhaustive={'yes' if outcome.exhaustive else 'no'} verdict={verdict}"
    )
    if check.omitted_rule:
        text += f' without="{check.omitted_rule}"'
    return text if outcome.expected else text + " UNEXPECTED"


def main() -> int:
    """Run all checks and return the exit code."""
    failed = False
    for check in CHECKS:
        outcome = run(check)
        failed = failed or not outcome.expected
        print(format_outcome(outcome))
        for number, label in enumerate(outcome.trace, 1):
            print(f"    {number}. {label}")
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
