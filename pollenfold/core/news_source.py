"""Which control replica tells an entry the news of endpoints and of the fleet.

Every replica tells every entry the index of its orders. The news themselves, which
are most of the bytes, come from one replica, preferably of the entry's own zone: told
by all of them they would cross zones with the product of entries and replicas.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class Source:
    """A control replica whose feed is open.

    ``is_cut_off`` means that for some time it heard no majority of the others.
    """

    host: str
    zone: str
    is_cut_off: bool


def choose_source(sources: Iterable[Source], entry_id: str, zone: str) -> str | None:
    """Return the host of the replica to take news from, or None without any.

    A replica that is cut off misses news, so it comes last; then one of the own zone
    comes first. A hash spreads the entries over the rest.
    """

    def rank(source: Source) -> tuple[bool, bool, int]:
        digest = xxhash.xxh3_64_intdigest(f"{entry_id} {source.host}".encode())
        return source.is_cut_off, source.zone != zone, digest

    best = min(sources, key=rank, default=None)
    return None if best is None else best.host
