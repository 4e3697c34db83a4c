"""The time in which a leader acts alone, without asking the others each time.

The leader elected next got its votes from a majority. One of its members acknowledged
the heartbeat on which the lease of this leader rests, and did so before it voted. So
that election came after the heartbeat was sent, and a leader that waits for the length
of a lease after its election begins after all earlier leases have ended. This doesn't
depend on what a voter remembers over a restart.
"""

from __future__ import annotations

from ..clock import Instant, add_ms
from .state import ELECTION_TIMEOUT_MIN_MS, Role, State, majority_contact_at

CLOCK_RATE_MARGIN = 0.01
"""By how much the clocks of two machines may differ in rate."""

LEASE_MS = ELECTION_TIMEOUT_MIN_MS * (1.0 - CLOCK_RATE_MARGIN)
"""How long a leader acts after it sent a heartbeat that a majority acknowledged."""


def has_lease(state: State, now: Instant) -> bool:
    """Return whether a majority was in contact with this leader within the lease.

    The contact counts from when the leader sent what was acknowledged. After a time in
    which the process was frozen it is over, if ``now`` is read after that time.
    """
    if state.role is not Role.LEADER or state.commit_index < state.term_start_index:
        return False
    return now < add_ms(majority_contact_at(state, now), LEASE_MS)


def acts_from(leader_since: Instant) -> Instant:
    """Return from when a leader may act, if it was elected before ``leader_since``."""
    return add_ms(leader_since, ELECTION_TIMEOUT_MIN_MS)
