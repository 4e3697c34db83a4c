"""Admission while a service has less capacity than its callers ask for.

A response that comes after its target is worth little, but takes as much capacity as
one in time. So while the servers are crowded they get the requests that can still be
answered in time; the others are refused at once, with a time to come back, and are
served from the capacity that the first ones leave. Without this every request waits
in the servers' queues and nearly all come late.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from .clock import Instant, add_ms
from .selection import ServerLoad

SPREAD_FACTOR = 1.15
"""Work varies from request to request; the estimate is raised by this much."""

SPARE_SHARE = 0.67
"""A server with no more busy slots than this has room for late requests."""

FIRST_WORK_SHARE = 0.35
"""The share of the target that work is taken to need before any was measured."""

PATIENCE_SPREAD = 0.2
DEADLINE_MEMORY_MS = 30_000.0
MIN_RETRY_AFTER_MS = 100.0
QUICK_RETRY_AFTER_MS = (5.0, 20.0)
RETRY_AFTER_SHARES = (0.2, 0.33)
"""Callers honour up to a third of the time they have left."""


class WorkEstimate:
    """How long the requests of one route take on an idle server, in ms."""

    __slots__ = ("_work_ms",)

    def __init__(self, target_ms: float) -> None:
        self._work_ms = FIRST_WORK_SHARE * target_ms

    def observe(self, latency_ms: float, slowdown: float) -> None:
        """Take the latency of a request that was sent to a server so slow."""
        work_ms = latency_ms / max(slowdown, 1.0)
        self._work_ms += 0.05 * (work_ms - self._work_ms)

    def get(self) -> float:
        """Return the present estimate."""
        return self._work_ms


class CallerAge:
    """Tells how long ago the caller of a route made its first attempt.

    A caller sends the time it has left, so a later attempt sends less than the first.
    The largest time seen lately is that of first attempts. Callers differ in their
    patience, so a time that is less only by a share of ``PATIENCE_SPREAD`` counts as
    that of a first attempt. For example, after deadlines of 1500 a request with 1300
    is new, and one with 1000 is 500 ms old.
    """

    __slots__ = ("_largest",)

    def __init__(self) -> None:
        self._largest: deque[tuple[Instant, float]] = deque()

    def observe(self, left_ms: float, now: Instant) -> float:
        """Take the time that a request has left; return its age in ms."""
        largest = self._largest
        while largest and largest[-1][1] <= left_ms:
            largest.pop()
        largest.append((now, left_ms))
        oldest = add_ms(now, -DEADLINE_MEMORY_MS)
        while largest[0][0] < oldest:
            largest.popleft()
        first_ms = largest[0][1]
        return (
            0.0 if left_ms >= (1 - PATIENCE_SPREAD) * first_ms else first_ms - left_ms
        )


class Verdict(Enum):
    """What becomes of a request for which a server was found."""

    SEND = "send"
    SEND_LATE = "send_late"
    """It can't be in time, but the server has room to spare."""

    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Prospect:
    """One request at the best server that was found for it.

    ``load`` is None for a server that doesn't tell its load.
    """

    work_ms: float
    slowdown: float
    load: ServerLoad | None
    left_to_target_ms: float
    left_to_deadline_ms: float


def acceptable_slowdown(work_ms: float, left_to_target_ms: float) -> float:
    """Return the greatest slowdown with which a request is still in time."""
    return left_to_target_ms / (SPREAD_FACTOR * max(work_ms, 1.0))


def judge(prospect: Prospect) -> Verdict:
    """Decide whether a request is sent to the server that was found."""
    load = prospect.load
    if load is None:
        return Verdict.SEND
    limit = acceptable_slowdown(prospect.work_ms, prospect.left_to_target_ms)
    if prospect.slowdown <= limit:
        return Verdict.SEND
    if prospect.work_ms * prospect.slowdown > prospect.left_to_deadline_ms:
        return Verdict.REFUSE
    n_busy = load.n_running + load.n_waiting + 1
    if n_busy <= SPARE_SHARE * load.n_slots:
        return Verdict.SEND_LATE
    return Verdict.REFUSE


def quick_retry_after_ms(position: float) -> float:
    """Return when to come back after servers refused a request though they had room.

    Such a refusal is luck, and another attempt may still be in time.
    """
    first, last = QUICK_RETRY_AFTER_MS
    return first + (last - first) * position


def retry_after_ms(left_to_deadline_ms: float, position: float) -> float:
    """Return when a refused caller should come back.

    ``position`` between 0 and 1 spreads the callers, so that they don't return
    together. The time grows with what a caller has left: overload lasts longer than
    the shortest of these times.
    """
    first, last = RETRY_AFTER_SHARES
    share = first + (last - first) * position
    return max(MIN_RETRY_AFTER_MS, share * left_to_deadline_ms)
