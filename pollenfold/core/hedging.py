"""Decisions on hedged requests: the delay, the budget, and when there is no hedge.

A hedge is a second attempt of an idempotent request at another endpoint, started while
the first one takes unusually long. Each entry limits the hedges by its own requests, so
that the limit holds for the sum of all entries without messages.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass
from enum import Enum
from math import ceil

from .balancing.overload import (
    OVERLOADED_SLOWDOWN,
    WORK_VARIATION_FACTOR,
    acceptable_slowdown,
)
from .balancing.selection import EARLY_ACCEPT_SLOWDOWN
from .clock import Instant, add_ms
from .retries import RatioBudget

MIN_HEDGE_DELAY_MS = 2.0
"""A shorter delay would hedge requests that differ only by scheduling noise."""

HEDGE_QUANTILE = 0.95
"""The share of responses that arrive before the delay, also where the ratio is larger
than the rest: a hedge of a usual response is of no use."""

N_KEPT_RATIOS = 128
"""At one request per second this is a memory of two minutes, in 512 bytes."""

MIN_RATIOS = 20
"""The least number of values of which one lies above the quantile."""

MAX_SAVED_HEDGES = 2.0
"""Two slow responses in a row can be hedged, while all entries together save little."""

REFUSAL_MEMORY_MS = 1_000.0
"""How long after a refusal a service counts as overloaded."""


class HedgeDecision(Enum):
    """Whether a hedge starts, or what prevents it."""

    SEND = "send"
    UNSENT = "unsent"
    """The first endpoint hasn't received the whole request."""

    MAX_ATTEMPTS = "max_attempts"
    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    """The second attempt couldn't finish in time."""

    RATIO = "ratio"
    RETRY_BUDGET = "retry_budget"
    QUOTA = "quota"
    """The quota of the tenant doesn't permit a second run."""

    NO_ENDPOINT = "no_endpoint"
    """No endpoint may get a hedge, or none has spare capacity."""


class LatencyRatios:
    """How much longer than expected the last responses of a service took.

    All routes of a service share the values, since one entry gets too few requests of
    each. For example, 1.2 is a response after 120 ms that was expected after 100 ms.
    """

    __slots__ = ("_values", "_next", "_sorted")

    def __init__(self) -> None:
        self._values = array("f")
        self._next = 0
        self._sorted: list[float] | None = None

    def observe(self, ratio: float) -> None:
        """Add a value; beyond ``N_KEPT_RATIOS`` it replaces the oldest one."""
        self._sorted = None
        if len(self._values) < N_KEPT_RATIOS:
            self._values.append(ratio)
            return
        self._values[self._next] = ratio
        self._next = (self._next + 1) % N_KEPT_RATIOS

    def quantile(self, share: float) -> float | None:
        """Return the value that ``share`` of all values don't exceed.

        Return None while there are too few values for one of them to lie above it.
        """
        n_values = len(self._values)
        n_needed = ceil(1.0 / max(1.0 - share, 1.0 / N_KEPT_RATIOS) - 1e-9)
        if n_values < max(MIN_RATIOS, n_needed):
            return None
        if self._sorted is None:
            self._sorted = sorted(self._values)
        return self._sorted[min(n_values, ceil(share * n_values - 1e-9)) - 1]


class HedgeBudget(RatioBudget):
    """Limits the hedges of a service to a ratio of the requests of this process.

    It starts empty unless told otherwise: with hedges saved from the start, each
    restart adds some.
    """

    __slots__ = ()

    def __init__(self, ratio: float, n_initial: float = 0.0) -> None:
        super().__init__(ratio, MAX_SAVED_HEDGES, n_initial)


def hedge_quantile(ratio: float) -> float:
    """Return the share of responses that are awaited for the whole delay.

    No more than ``ratio`` of the responses take longer than this quantile.
    """
    return max(HEDGE_QUANTILE, 1.0 - ratio)


def hedge_delay_ms(expected_ms: float, latency_ratio: float = 1.0) -> float:
    """Return how long a request is awaited before it is hedged.

    ``expected_ms`` is the work of its route multiplied by the slowdown that the
    endpoint reported, and ``latency_ratio`` a high quantile of the service's
    ``LatencyRatios``.
    """
    return max(MIN_HEDGE_DELAY_MS, expected_ms * max(1.0, latency_ratio))


def latest_useful_delay_ms(left_to_target_ms: float, work_ms: float) -> float:
    """Return the delay after which a second attempt can just be in time.

    For example, with 677 ms left until the target and 250 ms of work it is 389 ms.
    """
    return left_to_target_ms - WORK_VARIATION_FACTOR * work_ms


def timely_delay_ms(usual_ms: float, least_ms: float, latest_ms: float) -> float:
    """Return the delay of a request whose second attempt should still be in time.

    A few slow responses raise the usual delay beyond the latest useful one. The least
    delay is that at which the hedges just keep their ratio.
    """
    return min(usual_ms, max(least_ms, latest_ms))


def may_be_hedged(
    is_idempotent: bool, is_body_streamed: bool, n_sends: int, max_attempts: int
) -> bool:
    """Return whether a request may get a second attempt beside the one that starts.

    ``n_sends`` is the number of endpoints that got it before.
    """
    return is_idempotent and not is_body_streamed and n_sends + 2 <= max_attempts


@dataclass(frozen=True, slots=True)
class HedgeMoment:
    """What an entry knows when the delay of a request has passed.

    ``n_sends`` counts the attempt that runs. ``least_slowdown`` is that of the last
    search of the service, and ``refused_at`` when one of its requests was refused last.
    """

    now: Instant
    is_sent: bool
    n_sends: int
    max_attempts: int
    least_slowdown: float
    refused_at: Instant
    work_ms: float
    target_at: Instant
    deadline: Instant


def decide_hedge(moment: HedgeMoment) -> HedgeDecision:
    """Decide whether a hedge may start, apart from the budgets."""
    if not moment.is_sent:
        return HedgeDecision.UNSENT
    if moment.n_sends >= moment.max_attempts:
        return HedgeDecision.MAX_ATTEMPTS
    if moment.least_slowdown > OVERLOADED_SLOWDOWN:
        return HedgeDecision.OVERLOADED
    if moment.now < add_ms(moment.refused_at, REFUSAL_MEMORY_MS):
        return HedgeDecision.OVERLOADED
    if hedge_slowdown_limit(moment) < 1.0:
        return HedgeDecision.TOO_LATE
    return HedgeDecision.SEND


def hedge_slowdown_limit(moment: HedgeMoment) -> float:
    """Return the greatest slowdown at which an endpoint may get the hedge.

    The second attempt must be able to finish by the target, or by the deadline once the
    target can't be met, and its endpoint must have spare capacity.
    """
    by_target, by_deadline = (
        acceptable_slowdown(moment.work_ms, until - moment.now)
        for until in (min(moment.target_at, moment.deadline), moment.deadline)
    )
    limit = by_target if by_target >= 1.0 else by_deadline
    return min(limit, EARLY_ACCEPT_SLOWDOWN)


@dataclass(frozen=True, slots=True)
class HedgeCandidate:
    """The state of an endpoint that may get a hedge.

    ``is_cold`` includes endpoints that may be cold until they report; ``is_doubtful``
    are those that failed lately, can't be reached or were slow.
    """

    is_cold: bool
    is_backing_off: bool
    is_limited: bool
    is_doubtful: bool


def may_get_hedge(candidate: HedgeCandidate) -> bool:
    """Return whether an endpoint may get a hedge, whatever its load."""
    return not (
        candidate.is_cold
        or candidate.is_backing_off
        or candidate.is_limited
        or candidate.is_doubtful
    )


def censored_ratio(
    elapsed_ms: float, expected_ms: float, quantile: float | None
) -> float | None:
    """Return the value to keep for an attempt that ended without its response.

    The time until then is a lower bound of its latency. Below the quantile it carries
    no information.
    """
    ratio = elapsed_ms / expected_ms
    return ratio if quantile is None or ratio >= quantile else None
