"""Per-entry state of an endpoint: counters, limits and pooled connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.routing import Candidate
from ..http.pool import Pool

if TYPE_CHECKING:
    from ..core.membership import Endpoint


@dataclass(slots=True)
class Backend:
    """One endpoint with its counters and its connection pool."""

    endpoint: Endpoint
    candidate: Candidate
    pool: Pool
    reported_at_ms: float = -1e9


def connection_limit(connections_per_endpoint: int, max_entries: int) -> int:
    """Return this entry's share of the connections that an endpoint accepts.

    The divisor is the maximum number of entries and not the current one, so that the
    sum stays within the limit while entries have different views of the fleet size.
    For example, with 260 connections and 19 entries each entry gets 13.
    """
    return max(1, connections_per_endpoint // max_entries)


def make_backend(endpoint: Endpoint, key: str, n_connections: int) -> Backend:
    """Create the state of a new endpoint, with no requests in flight."""
    candidate = Candidate(key, endpoint.zone, endpoint.slots, limit=0)
    pool = Pool(endpoint.host, endpoint.port, n_connections)
    return Backend(endpoint, candidate, pool)
