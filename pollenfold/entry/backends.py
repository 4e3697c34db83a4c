"""The endpoints of one service as this entry uses them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.routing import Candidate
from ..http.pool import Pool

if TYPE_CHECKING:
    from ..core.membership import Endpoint


@dataclass(slots=True)
class Backend:
    """One endpoint with its counts and its idle connections."""

    endpoint: Endpoint
    candidate: Candidate
    pool: Pool
    reported_at_ms: float = -1e9


def connection_limit(connections_per_endpoint: int, max_entries: int) -> int:
    """Return this entry's part of the connections that an endpoint accepts.

    The divisor is the greatest number of entries and not the present one, so that
    the sum stays below the limit while entries disagree on how many they are. For
    example, 260 connections and 19 entries leave 13 for each.
    """
    return max(1, connections_per_endpoint // max_entries)


def make_backend(endpoint: Endpoint, key: str, n_connections: int) -> Backend:
    """Return an endpoint seen for the first time, with nothing in flight."""
    candidate = Candidate(key, endpoint.zone, endpoint.slots, limit=0)
    pool = Pool(endpoint.host, endpoint.port, n_connections)
    return Backend(endpoint, candidate, pool)
