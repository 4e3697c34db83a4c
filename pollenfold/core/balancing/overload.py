"""Admission control while the demand on a service exceeds its capacity.

A response after its latency target has little value but uses as much capacity as one
in time. Overloaded servers are therefore sent only requests that can still meet their
target. Other requests are sent only if the server has spare capacity and their deadline
can be met; otherwise they are refused immediately with a retry delay. Without admission
control every request would wait in the servers' queues and nearly all responses would
be late.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

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

DEADLINE_TOLERANCE = 0.2
DEADLINE_WINDOW_MS = 30_000.0
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
        self._work_ms += 0.05 * (work_ms - self._work_ms)

    def get(self) -> float:
        """Return the current estimate."""
        return self._work_ms


class CallerAge:
    """Estimates how long ago a caller of a route made its first attempt.

    A caller sends its remaining time, which is shorter in a retry than in the first
    attempt. The largest recent remaining time is taken as that of first attempts.
    Callers use different timeouts, so a remaining time within ``DEADLINE_TOLERANCE``
    of the largest counts as a first attempt. For example, if the largest is 1500 ms, a
    request with 1300 ms is new, and one with 1000 ms is 500 ms old.
    """

    __slots__ = ("_maxima",)

    def __init__(self) -> None:
        self._maxima: deque[tuple[Instant, float]] = deque()

    def observe(self, left_ms: float, now: Instant) -> float:
        """Record the remaining time of a request; return its age in ms."""
        maxima = self._maxima
        while maxima and maxima[-1][1] <= left_ms:
            maxima.pop()
        maxima.append((now, left_ms))
        oldest = add_ms(now, -DEADLINE_WINDOW_MS)
        while maxima[0][0] < oldest:
            maxima.popleft()
        first_ms = maxima[0][1]
        return (
            0.0
            if left_ms >= (1 - DEADLINE_TOLERANCE) * first_ms
            else first_ms - left_ms
        )


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
