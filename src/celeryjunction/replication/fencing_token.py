"""Composes the fencing token of a promotion.

The store may have lost the group's highest token, so a token has to be higher than the
earlier ones by itself. It rises with the store's era, which tells of such a loss,
within an era with the term, which the endpoints keep, and within a term with the time,
if nothing tells of the loss. The era comes first because the endpoints may have lost
their terms as well.

    compose_token(era=2, next_term=5, wall_s=clock.wall())
"""

from __future__ import annotations

from celeryjunction.decoding import MAX_NUMBER

_TICKS_PER_S = 16
_TIME_BITS = 36
"""Ticks since the epoch, until the year 2106."""
_TERM_BITS = 16
_MAX_TIME = (1 << _TIME_BITS) - 1
_MAX_TERM = (1 << _TERM_BITS) - 1
_MAX_ERA = MAX_NUMBER >> (_TERM_BITS + _TIME_BITS)


def compose_token(*, era: int, next_term: int, wall_s: float) -> int:
    """Return a token for the promotion that begins `next_term`.

    Eras and terms beyond their bits count as the highest. `wall_s` is the time of day
    in seconds since the epoch.
    """
    ticks = int(wall_s * _TICKS_PER_S)
    token = (min(era, _MAX_ERA) << _TERM_BITS) + min(next_term, _MAX_TERM)
    return (token << _TIME_BITS) + min(max(0, ticks), _MAX_TIME)
