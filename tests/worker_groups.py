"""How pytest-xdist distributes tests over its workers.

The marker ``xdist_group`` has no effect: pytest-xdist 3.8 writes the group into an
attribute that pytest 9.2 does not read, so that each test may run on any worker.
"""

from __future__ import annotations

from xdist.scheduler import LoadFileScheduling

REAL_PROCESSES = frozenset(
    f"tests/{name}.py"
    for name in (
        "test_commits_lost",
        "test_cut_off_commits",
        "test_competing_holders",
        "test_config_lags",
        "test_contract_cli",
        "test_fencing_tokens",
        "test_forwarding",
        "test_links",
        "test_organisations",
        "test_platform_edge",
        "test_soak",
        "test_unanswered_calls",
    )
)
"""Files whose tests start the system's processes. They run on one worker, one after the
other, because they share the machine's processors with nothing of their kind."""
PROCESS_GROUP = "processes"


def group_of(nodeid: str) -> str:
    """Return the group of a test; the tests of a group run on one worker."""
    file = nodeid.partition("::")[0]
    return PROCESS_GROUP if file in REAL_PROCESSES else file


class GroupScheduling(LoadFileScheduling):
    """Gives all tests of a group to one worker."""

    def _split_scope(self, nodeid: str) -> str:
        return group_of(nodeid)
