"""Selection of a backend server by probing its load just before a request is sent.

The load of backend servers that share VMs with others changes many times a second, so
a report on an earlier response is soon outdated. An entry therefore probes a few
endpoints concurrently and sends the request to the one that is expected to finish
first. It probes its own zone first, and other zones only if no local endpoint is fast.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Instant, add_ms

KNEE_UTILIZATION = 0.8
"""Share of busy slots above which some servers slow down."""

KNEE_FACTOR = 1.6
EARLY_ACCEPT_SLOWDOWN = 1.5
"""A server with a lower expected slowdown is selected without probing others."""

MIN_IDLE_ENDPOINTS = 3
"""With this many fast endpoints with idle connections, only these are probed."""

NEW_CONNECTION_PROBABILITY = 0.1
"""Probability of also choosing an endpoint without an idle connection in that case."""

REMOTE_ZONE_SLOWDOWN = 0.05
"""Prefers the local of two similar servers, to save cross-zone bytes."""

PENALTY_HALF_LIFE_MS = 1_500.0
MAX_PENALTY = 8.0
SLOW_REPORT_LIFETIME_MS = 100.0
"""How long an endpoint that reported being slow is probed only after others."""

UNREACHABLE_AFTER_MS = 150.0
MAX_UNREACHABLE_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load that a backend server reported at one instant.

    ``slowdown`` is the current duration of work on its VM relative to the usual one.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowdown: float = 1.0


def expected_slowdown(load: ServerLoad) -> float:
    """Return the expected duration of one more request relative to its usual one.

    For example, a server with all 6 slots busy, 5 requests waiting and a slowdown
    of 2 gives 2 * 1.6 * (1 + 6/6) = 6.4.
    """
    n_slots = max(1, load.n_slots)
    n_ahead = max(0, load.n_running + load.n_waiting + 1 - n_slots)
    knee = KNEE_FACTOR if load.n_running + 1 > KNEE_UTILIZATION * n_slots else 1.0
    return max(load.slowdown, 0.1) * knee * (1.0 + n_ahead / n_slots)


class EndpointHealth:
    """Failures, latency and requests in flight of one endpoint, as this entry saw them.

    The penalty grows with failures and decays with time. An endpoint that fails some
    of its requests while its health checks pass therefore gets less work, and is tried
    again later. An unreachable endpoint is excluded for a time that doubles with each
    failure.
    """

    __slots__ = (
        "n_in_flight",
        "_penalty",
        "_penalty_at",
        "_n_unreachable",
        "unreachable_until",
        "slow_until",
        "latency_ms",
    )

    def __init__(self) -> None:
        self.n_in_flight = 0
        self.latency_ms = 0.0
        self._penalty = 0.0
        self._penalty_at = Instant(0.0)
        self._n_unreachable = 0
        self.unreachable_until = Instant(0.0)
        self.slow_until = Instant(0.0)

    def mark_slow(self, now: Instant) -> None:
        """Record that the endpoint reported being slow."""
        self.slow_until = add_ms(now, SLOW_REPORT_LIFETIME_MS)

    def is_deprioritized(self, now: Instant) -> bool:
        """Return whether other endpoints should be probed first."""
        return now < self.slow_until or self.penalty(now) > 0.5

    def penalty(self, now: Instant) -> float:
        """Return the current penalty in units of the usual request latency."""
        elapsed_ms = max(0.0, now - self._penalty_at)
        return float(self._penalty * 0.5 ** (elapsed_ms / PENALTY_HALF_LIFE_MS))

    def add_penalty(self, weight: float, now: Instant) -> None:
        """Add ``weight`` to the penalty, up to ``MAX_PENALTY``."""
        self._penalty = min(MAX_PENALTY, self.penalty(now) + weight)
        self._penalty_at = now

    def mark_unreachable(self, now: Instant) -> None:
        """Exclude the endpoint for a time that doubles with each consecutive call."""
        exclusion_ms = UNREACHABLE_AFTER_MS * 2.0 ** min(self._n_unreachable, 5)
        self._n_unreachable += 1
        self.unreachable_until = add_ms(now, min(exclusion_ms, MAX_UNREACHABLE_MS))

    def mark_reachable(self) -> None:
        """Record that the endpoint responded, which ends its exclusion."""
        self._n_unreachable = 0
        self.unreachable_until = Instant(0.0)

    @property
    def is_failing(self) -> bool:
        """Whether the last connection to the endpoint couldn't be opened."""
        return self._n_unreachable > 0

    def is_unreachable(self, now: Instant) -> bool:
        """Return whether the endpoint is currently excluded."""
        return now < self.unreachable_until

    def observe(self, latency_ms: float) -> None:
        """Add a latency to the moving average."""
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
        self.latency_ms += 0.2 * (latency_ms - self.latency_ms)


@dataclass(frozen=True, slots=True)
class EndpointCandidate:
    """A candidate endpoint for a request.

    ``has_idle_connection`` means that an open connection to it is idle.
    """

    endpoint_id: str
    is_local: bool
    health: EndpointHealth
    has_idle_connection: bool = False


def choose_probe_targets(
    candidates: list[EndpointCandidate],
    n_wanted: int,
    is_local_only: bool,
    now: Instant,
    rng: random.Random,
) -> list[EndpointCandidate]:
    """Return the endpoints to probe next, at random among the eligible ones.

    Endpoints that recently failed or were slow rank last. All but one of the chosen
    endpoints have an idle connection if possible, since a new connection costs a round
    trip, briefly a slot, and a share of the endpoint's connection limit. The last
    choice favours endpoints without one, so that new endpoints are used. With many
    idle connections this is done only occasionally, because an entry with few requests
    and many endpoints would otherwise open a connection for nearly every request.
    Unreachable endpoints are probed only if there are no others.
    """
    pool = [
        candidate
        for candidate in candidates
        if not candidate.health.is_unreachable(now)
    ]
    pool = pool or candidates
    if is_local_only:
        pool = [candidate for candidate in pool if candidate.is_local] or pool
    if len(pool) <= n_wanted:
        return pool
    idle = [
        c for c in pool if c.has_idle_connection and not c.health.is_deprioritized(now)
    ]
    if len(idle) >= MIN_IDLE_ENDPOINTS and rng.random() >= NEW_CONNECTION_PROBABILITY:
        return rng.sample(idle, n_wanted)
    sample = rng.sample(pool, min(len(pool), 2 * n_wanted))
    last = min(
        sample, key=lambda c: (c.health.is_deprioritized(now), c.has_idle_connection)
    )
    sample.remove(last)
    sample.sort(
        key=lambda c: (c.health.is_deprioritized(now), not c.has_idle_connection)
    )
    return [*sample[: n_wanted - 1], last]


def choose_without_reports(
    candidates: list[EndpointCandidate], now: Instant, rng: random.Random
) -> EndpointCandidate | None:
    """Return the better of two random endpoints, based on this entry's observations.

    This is for services whose servers don't report their load, where a probe would
    occupy a slot.
    """
    reachable = [
        candidate
        for candidate in candidates
        if not candidate.health.is_unreachable(now)
    ]
    pool = reachable or candidates
    if not pool:
        return None
    local = [candidate for candidate in pool if candidate.is_local]
    if len(local) >= 2:
        pool = local
    pair = rng.sample(pool, min(2, len(pool)))
    return min(pair, key=_observed_cost(now))


def _observed_cost(now: Instant) -> Callable[[EndpointCandidate], float]:
    def cost(candidate: EndpointCandidate) -> float:
        health = candidate.health
        usual_ms = max(health.latency_ms, 1.0)
        return (health.n_in_flight + 1) * usual_ms * (1.0 + health.penalty(now))

    return cost
