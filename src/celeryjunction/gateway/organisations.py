"""Organisations: who a client belongs to, found by the API key that it presents.

Only digests of keys are kept, so that no key can reach a log, a metric or another VM.

```python
table = OrganisationTable([(Organisation("bode", rate_per_s=40, burst=40), [b"k1"])])
table.find(key_digest(b"k1")).name   # "bode"
```
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2s

import msgspec

NO_ORGANISATION = ""
"""Name that stands for clients without an organisation."""
DIGEST_BYTES = 16


class Organisation(msgspec.Struct, frozen=True):
    """An organisation and its allotment.

    `rate_per_s` and `burst` are operations, counted over all VMs together; a rate of 0
    stands for no limit.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has an allotment."""
        return self.rate_per_s > 0.0

    @property
    def weight(self) -> float:
        """Its share of the endpoints' slots, relative to other organisations."""
        return self.rate_per_s if self.is_limited else 1.0


class Caller(msgspec.Struct, frozen=True):
    """Who a session belongs to, and the digest of the key that showed it.

    Without organisations in the config, or on an anonymous route, `organisation` is
    `NO_ORGANISATION` and `digest` is empty.
    """

    organisation: str = NO_ORGANISATION
    digest: bytes = b""


ANYONE = Caller()


def key_digest(key: bytes) -> bytes:
    """Return the digest under which an API key is kept."""
    return blake2s(key, digest_size=DIGEST_BYTES).digest()


class OrganisationTable:
    """The organisations of one config version; immutable."""

    __slots__ = ("_by_digest", "_by_name")

    def __init__(
        self, organisations: Iterable[tuple[Organisation, Iterable[bytes]]]
    ) -> None:
        self._by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for organisation, keys in organisations:
            self._by_name[organisation.name] = organisation
            for key in keys:
                self._by_digest[key_digest(key)] = organisation

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Organisation]:
        return iter(self._by_name.values())

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "organisations", len(self._by_name)

    def find(self, digest: bytes) -> Organisation | None:
        """Return the organisation that holds the key with this digest."""
        return self._by_digest.get(digest)

    def get(self, name: str) -> Organisation | None:
        """Return an organisation by its name."""
        return self._by_name.get(name)
