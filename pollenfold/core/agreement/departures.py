"""Replicas that announce that they are about to stop, and how far their leave is.

A voter that stops takes a vote with it. If several stop faster than silence is
noticed, the rest is no majority any more, even though learners with the complete log
wait for their places. So a replica that stops announces it to the leader and keeps
voting until a learner has its place. It repeats the announcement, so that a new
leader learns of it too.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from ..clock import Instant, add_ms
from .state import Role, State

LEAVE_VALID_MS = 1_000.0
"""How long one announcement holds. A replica that is started again meanwhile stays a
voter, unless its place was already taken."""


class Departure(Enum):
    """How far the leave of a replica is."""

    LEFT = "left"
    """The replica isn't a voter, and the change that removed it is committed."""

    WAITING = "waiting"
    """A learner is about to take its place."""

    NO_SUCCESSOR = "no_successor"
    """No learner waits, so the replica keeps its place while it is down."""


def record_leave(state: State, replica_id: str, now: Instant) -> State:
    """Record at a leader that a replica is about to stop; others ignore it.

    A learner that stops is no candidate for a place any more.
    """
    if state.role is not Role.LEADER:
        return state
    valid = {k: v for k, v in state.leaves.items() if now < add_ms(v, LEAVE_VALID_MS)}
    return replace(state, leaves={**valid, replica_id: now})


def is_leaving(state: State, replica_id: str, now: Instant) -> bool:
    """Return whether a replica has announced lately that it is about to stop."""
    announced_at = state.leaves.get(replica_id)
    return announced_at is not None and now < add_ms(announced_at, LEAVE_VALID_MS)


def leaving_voter(state: State, now: Instant) -> str | None:
    """Return the voter that leaves next, or None; the leader itself comes last.

    A leader that leaves first would let the others wait for an election.
    """
    leaving = [k for k in state.voters if is_leaving(state, k, now)]
    return min(leaving, key=lambda k: (k == state.replica_id, k), default=None)
