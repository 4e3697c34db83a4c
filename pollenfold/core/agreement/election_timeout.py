"""How long a replica waits for a leader, or for votes, before it asks for votes."""

from __future__ import annotations

import random

from .state import (
    ELECTION_TIMEOUT_MAX_MS,
    ELECTION_TIMEOUT_MIN_MS,
    State,
)

FIRST_ELECTION_TIMEOUTS_MS = (60.0, 240.0)
"""For a replica that has seen no leader since its start. All replicas may have
restarted together, and no request is served until one of them is elected."""

LONGEST_TIMEOUT_MS = 2 * ELECTION_TIMEOUT_MAX_MS
MAX_DOUBLINGS = 8


def first_timeout_ms(is_dynamic: bool, rng: random.Random) -> float:
    """Return the election timeout of a replica that starts."""
    return rng.uniform(*_timeouts_ms(is_dynamic))


def _timeouts_ms(is_restart: bool) -> tuple[float, float]:
    if is_restart:
        return FIRST_ELECTION_TIMEOUTS_MS
    return ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS


def election_timeout_ms(state: State, rng: random.Random) -> float:
    """Return a random election timeout for the present state of a replica.

    It doubles with each election that ended without a leader: a vote is given only
    after two syncs, and a candidate that gives up before then raises the term again.
    """
    low_ms, high_ms = _timeouts_ms(state.is_dynamic and not state.has_seen_leader)
    factor = 2.0 ** min(state.n_elections, MAX_DOUBLINGS)
    low_ms = max(low_ms, min(factor * low_ms, ELECTION_TIMEOUT_MIN_MS))
    return rng.uniform(low_ms, min(factor * high_ms, LONGEST_TIMEOUT_MS))
