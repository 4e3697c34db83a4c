"""Choice of the control replica that sends an entry the endpoint and fleet updates.

Every replica sends every entry the index of its replicated state. The updates,
which are most of the bytes, come from one replica only, preferably in the entry's own
zone. If all replicas sent them, the cross-zone traffic would grow with the product of
entries and replicas.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class UpdateSource:
    """A control replica whose feed is open.

    ``is_partitioned`` means that for some time it has not been in contact with a
    majority of the other replicas.
    """

    host: str
    zone: str
    is_partitioned: bool


def choose_update_source(
    sources: Iterable[UpdateSource], entry_id: str, zone: str
) -> str | None:
    """Return the host of the replica to receive updates from, or None without one.

    A partitioned replica misses updates, so it ranks last. Otherwise replicas in the
    entry's own zone rank first, and a hash spreads the entries over equal replicas.
    """

    def rank(source: UpdateSource) -> tuple[bool, bool, int]:
        digest = xxhash.xxh3_64_intdigest(f"{entry_id} {source.host}".encode())
        return source.is_partitioned, source.zone != zone, digest

    best = min(sources, key=rank, default=None)
    return None if best is None else best.host
