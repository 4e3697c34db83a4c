"""The other entries of the fleet, to which an entry may relay requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry, as the feeds report it; ``host`` is an IPv4 literal."""

    entry_id: str
    host: str
    zone: str
