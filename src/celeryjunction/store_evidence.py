"""Evidence that the store lost changes, for a store that doesn't tell.

Responses are linearizable, so one whose revision is lower than one that was known when
its call was sent comes from an older copy of the store. A response that is only older
than one that arrived meanwhile is no evidence:

    first, second = evidence.begin(), evidence.begin()
    evidence.confirm(second, 8)
    evidence.confirm(first, 7)  # sent before 8 was known
    evidence.confirm(evidence.begin(), 7)  # notes a loss
"""

from __future__ import annotations

from typing import NamedTuple

from celeryjunction.ports import StoreUnavailable
from celeryjunction.store_history import StoreHistory, local_revision


class Call(NamedTuple):
    """What was known when a call was sent."""

    era: int
    losses: int
    newest: int
    """Highest revision of the store that was known."""


class StoreEvidence:
    """Compares what the store answers with what it must still know."""

    __slots__ = ("_history", "_newest", "_newest_era")

    def __init__(self, history: StoreHistory) -> None:
        self._history = history
        self._newest = 0
        self._newest_era = history.era

    def begin(self) -> Call:
        """Return what is known now, before a call is sent."""
        return Call(self._history.era, self._history.losses, self._known_revision)

    @property
    def _known_revision(self) -> int:
        return self._newest if self._newest_era == self._history.era else 0

    def confirm(self, call: Call, revision: int, *, after: int | None = None) -> None:
        """Compare the store's revision in a response with what was known.

        With `after`, the response is a watch's, whose revision need only be as high as
        the one that the call named. Raises `StoreUnavailable` if a loss was noted
        during the call, so that the response may be from before it.
        """
        history = self._history
        if call.era != history.era:
            # The response names the later era, whose revisions start anew.
            call = Call(history.era, history.losses, 0)
        if call.losses != history.losses:
            raise StoreUnavailable("the store was restored during the call")
        if not revision:
            return
        known = call.newest if after is None else local_revision(after)
        if revision < known:
            self._newest, self._newest_era = revision, history.era
            history.note_loss(reason="older_revision", known=known, found=revision)
        else:
            self._newest = max(self._known_revision, revision)
            self._newest_era = history.era
