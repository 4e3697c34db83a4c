"""Admission control while the demand on a service exceeds its capacity.

A response after its latency target has little value but uses as much capacity as one
in time. Overloaded servers are therefore sent only requests that can still meet their
target. Other requests are sent only if the server has spare capacity and their deadline
can be met; otherwise they are refused immediately with a retry delay. Without admission
control every request would wait in the servers' queues and nearly all responses would
be late.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from math import ceil

from ..clock import Instant, add_ms
from .selection import ServerLoad

OVERLOADED_SLOWDOWN = 2.0
"""Above this slowdown of its best endpoint a service counts as overloaded."""

WORK_VARIATION_FACTOR = 1.15
"""Safety factor on the work estimate, since work varies between requests."""

LATE_MAX_BUSY_SHARE = 0.67
"""Share of busy slots up to which a server has spare capacity for late requests."""

INITIAL_WORK_SHARE = 0.35
"""Initial work estimate as a share of the latency target, before any measurement."""

OUTLIER_FACTOR = 4.0
MIN_OUTLIER_WORK_MS = 10.0
"""A single request counts as at most so many times the estimate, or this work, so that
one that takes a minute doesn't have the others refused."""

DEADLINE_TOLERANCE = 0.2
DEADLINE_WINDOW_MS = 30_000.0
MAX_CALLERS = 128
"""How many callers of a route are remembered, the most recent ones."""

MIN_OWN_CLAIMS = 3
"""A caller with so many claims is judged by them alone."""

FIRST_ATTEMPT_SHARE = 1 / 3
MIN_VOTES = 2
"""The largest remaining time that this share of the callers, and so many of them, have
claimed is taken as that of first attempts. More may be retries during an overload."""

MAX_CLAIM_FACTOR = 5.0
"""Callers have deadlines of up to four times the timeout of a route. A larger claim is
ignored."""

MIN_RETRY_SHARE = 0.2
"""A request with a smaller share of the time of first attempts isn't one of their
retries: refused callers come back after at most a third of their time, and make few
attempts. It comes from callers with other deadlines."""

MIN_RETRY_AFTER_MS = 100.0
SHORT_RETRY_AFTER_MS = (5.0, 20.0)
RETRY_AFTER_SHARES = (0.2, 0.33)
"""Shares of the remaining time. Callers honour delays up to a third of it."""


class WorkEstimate:
    """Estimated duration in ms of the requests of one route on an idle server."""

    __slots__ = ("_work_ms",)

    def __init__(self, target_ms: float) -> None:
        self._work_ms = INITIAL_WORK_SHARE * target_ms

    def observe(self, latency_ms: float, slowdown: float) -> None:
        """Update the estimate with a latency at a server with the given slowdown."""
        work_ms = latency_ms / max(slowdown, 1.0)
        most_ms = OUTLIER_FACTOR * max(self._work_ms, MIN_OUTLIER_WORK_MS)
        self._work_ms += 0.05 * (min(work_ms, most_ms) - self._work_ms)

    def get(self) -> float:
        """Return the current estimate."""
        return self._work_ms

    def is_due(self, elapsed_ms: float) -> bool:
        """Return whether a server could have responded after so long.

        If not, a missing response says nothing about the server: the caller left it
        too little time.
        """
        return elapsed_ms >= self._work_ms


@dataclass(slots=True)
class _Claims:
    """What one caller said of its remaining time in the window."""

    largest_ms: float
    largest_at: Instant
    n_claims: int = 1


class CallerAge:
    """Estimates how long ago a caller of a route made its first attempt.

    A caller sends its remaining time, which is shorter in a retry than in the first
    attempt. Callers use different timeouts, so a remaining time within
    ``DEADLINE_TOLERANCE`` of that of first attempts counts as one. For example, if
    first attempts have 1500 ms, a request with 1300 ms is new, and one with 1000 ms is
    500 ms old.

    Callers may claim anything, so no caller decides alone what first attempts of others
    have: each of them has one vote, the largest of its claims in the window.
    """

    __slots__ = ("_callers",)

    def __init__(self) -> None:
        self._callers: dict[Hashable, _Claims] = {}
        """The least recent one first."""

    def observe(
        self,
        caller: Hashable,
        left_ms: float,
        now: Instant,
        timeout_ms: float | None = None,
    ) -> float:
        """Record the remaining time of a request of a caller; return its age in ms.

        ``timeout_ms`` is that of the route. A claim of many times that says nothing,
        since no response comes so late.
        """
        if timeout_ms is not None and left_ms > MAX_CLAIM_FACTOR * timeout_ms:
            return 0.0
        self._forget_old(now)
        own = self._record(caller, left_ms, now)
        if own.n_claims >= MIN_OWN_CLAIMS:
            first_ms = own.largest_ms
        else:
            first_ms = max(own.largest_ms, self._usual_first_ms())
        is_first = left_ms >= (1 - DEADLINE_TOLERANCE) * first_ms
        if is_first or left_ms < MIN_RETRY_SHARE * first_ms:
            return 0.0
        return first_ms - left_ms

    def _record(self, caller: Hashable, left_ms: float, now: Instant) -> _Claims:
        claims = self._callers.pop(caller, None)
        if claims is None:
            claims = _Claims(left_ms, now)
            if len(self._callers) >= MAX_CALLERS:
                del self._callers[next(iter(self._callers))]
        else:
            claims.n_claims += 1
            if left_ms >= claims.largest_ms:
                claims.largest_ms, claims.largest_at = left_ms, now
        self._callers[caller] = claims
        return claims

    def _forget_old(self, now: Instant) -> None:
        oldest = add_ms(now, -DEADLINE_WINDOW_MS)
        expired = [c for c, v in self._callers.items() if v.largest_at < oldest]
        for caller in expired:
            del self._callers[caller]

    def _usual_first_ms(self) -> float:
        """Return the remaining time that enough callers have claimed, or 0."""
        votes = sorted((c.largest_ms for c in self._callers.values()), reverse=True)
        rank = max(MIN_VOTES, ceil(FIRST_ATTEMPT_SHARE * len(votes)))
        return votes[rank - 1] if rank <= len(votes) else 0.0


class AdmissionDecision(Enum):
    """The admission decision for a request and the server selected for it."""

    SEND = "send"
    SEND_LATE = "send_late"
    """The response will be late, but the server has spare capacity."""

    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Placement:
    """A request with the best server that was found for it.

    ``load`` is None for a server that doesn't report its load.
    """

    work_ms: float
    slowdown: float
    load: ServerLoad | None
    left_to_target_ms: float
    left_to_deadline_ms: float


def acceptable_slowdown(work_ms: float, left_to_target_ms: float) -> float:
    """Return the greatest slowdown at which a request still meets its target."""
    return left_to_target_ms / (WORK_VARIATION_FACTOR * max(work_ms, 1.0))


def decide_admission(placement: Placement) -> AdmissionDecision:
    """Decide whether a request is sent to the selected server."""
    load = placement.load
    if load is None:
        return AdmissionDecision.SEND
    limit = acceptable_slowdown(placement.work_ms, placement.left_to_target_ms)
    if placement.slowdown <= limit:
        return AdmissionDecision.SEND
    if placement.work_ms * placement.slowdown > placement.left_to_deadline_ms:
        return AdmissionDecision.REFUSE
    n_busy = load.n_running + load.n_waiting + 1
    if n_busy <= LATE_MAX_BUSY_SHARE * load.n_slots:
        return AdmissionDecision.SEND_LATE
    return AdmissionDecision.REFUSE


def short_retry_after_ms(position: float) -> float:
    """Return the retry delay after servers with spare capacity refused a request.

    Such a refusal is due to chance, and another attempt may still be in time.
    """
    first, last = SHORT_RETRY_AFTER_MS
    return first + (last - first) * position


def retry_after_ms(left_to_deadline_ms: float, position: float) -> float:
    """Return the delay after which a refused caller should retry.

    ``position``, between 0 and 1, spreads the retries of different callers over time.
    The delay grows with the caller's remaining time, since overload lasts longer than
    the shortest delay.
    """
    first, last = RETRY_AFTER_SHARES
    share = first + (last - first) * position
    return max(MIN_RETRY_AFTER_MS, share * left_to_deadline_ms)
