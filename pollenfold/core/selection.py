"""Selection of a backend server by a look at its load just before the send.

The load of backend servers that share VMs with others changes many times a second, so
a report that came with an earlier response says little. An entry therefore asks a few
endpoints at once and sends to the one that will be done soonest. It asks its own zone
first, and others only when nothing there is quick.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from .clock import Instant, add_ms

KNEE_SHARE = 0.8
"""The share of busy slots above which some servers become slower."""

KNEE_FACTOR = 1.6
QUICK_SLOWDOWN = 1.5
"""A server whose expected slowdown is below this is taken without asking others."""

ENOUGH_FREE = 3
"""With so many quick endpoints whose connections are free, others can wait."""

NEW_CONNECTION_SHARE = 0.1
"""How often an endpoint is asked regardless of its connections all the same."""

REMOTE_ZONE_SLOWDOWN = 0.05
"""Prefers the own zone when two servers are alike: other zones cost bytes."""

PENALTY_HALF_LIFE_MS = 1_500.0
MAX_PENALTY = 8.0
SLOW_MEMORY_MS = 100.0
"""How long an endpoint that said it is slow is asked only after others."""

UNREACHABLE_AFTER_MS = 150.0
MAX_UNREACHABLE_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a backend server said of its load at one instant.

    ``slowdown`` is how many times longer than usual work takes on its VM now.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    slowdown: float = 1.0


def expected_slowdown(load: ServerLoad) -> float:
    """Return how many times its usual time one more request would take.

    For example, a server with all 6 slots busy, 5 requests waiting and a slowdown
    of 2 gives 2 * 1.6 * (1 + 6/6) = 6.4.
    """
    n_slots = max(1, load.n_slots)
    n_ahead = max(0, load.n_running + load.n_waiting + 1 - n_slots)
    knee = KNEE_FACTOR if load.n_running + 1 > KNEE_SHARE * n_slots else 1.0
    return max(load.slowdown, 0.1) * knee * (1.0 + n_ahead / n_slots)


class EndpointHealth:
    """What this entry saw of one endpoint: failures, latency and requests in flight.

    The penalty grows with failures and fades with time, so an endpoint that fails a
    part of its requests while its health answers are good gets less work, and is
    tried again later. An endpoint that can't be reached is left out for a time that
    doubles with each failure.
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
        """Note that the endpoint said that it is slow now."""
        self.slow_until = add_ms(now, SLOW_MEMORY_MS)

    def is_doubtful(self, now: Instant) -> bool:
        """Return whether others should be asked first."""
        return now < self.slow_until or self.penalty(now) > 0.5

    def penalty(self, now: Instant) -> float:
        """Return the present penalty in units of the usual time of a request."""
        elapsed_ms = max(0.0, now - self._penalty_at)
        return float(self._penalty * 0.5 ** (elapsed_ms / PENALTY_HALF_LIFE_MS))

    def fail(self, weight: float, now: Instant) -> None:
        """Add to the penalty."""
        self._penalty = min(MAX_PENALTY, self.penalty(now) + weight)
        self._penalty_at = now

    def mark_unreachable(self, now: Instant) -> None:
        """Leave the endpoint out for a while."""
        pause_ms = UNREACHABLE_AFTER_MS * 2.0 ** min(self._n_unreachable, 5)
        self._n_unreachable += 1
        self.unreachable_until = add_ms(now, min(pause_ms, MAX_UNREACHABLE_MS))

    def mark_reachable(self) -> None:
        """Note that the endpoint answered."""
        self._n_unreachable = 0
        self.unreachable_until = Instant(0.0)

    def is_unreachable(self, now: Instant) -> bool:
        """Return whether the endpoint is left out now."""
        return now < self.unreachable_until

    def observe(self, latency_ms: float) -> None:
        """Add a latency to the moving average."""
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
        self.latency_ms += 0.2 * (latency_ms - self.latency_ms)


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that may get a request, as the selection sees it.

    ``has_idle`` tells that a connection to it is open and free.
    """

    endpoint_id: str
    is_local: bool
    health: EndpointHealth
    has_idle: bool = False


def choose_round(
    options: list[Option],
    n_wanted: int,
    is_local_only: bool,
    now: Instant,
    rng: random.Random,
) -> list[Option]:
    """Return the endpoints to ask next, at random among those that qualify.

    Endpoints that failed or were slow lately come last. All but one of the places go
    to endpoints with a free connection where there are any, since a new one takes a
    round trip, a slot for a moment and a part of the endpoint's limit; the last place
    lets new endpoints in. While many free connections are open it does so only at
    times: an entry with few requests and many endpoints would otherwise open a
    connection for nearly each request. Unreachable endpoints are asked only when
    nothing else is left.
    """
    pool = [option for option in options if not option.health.is_unreachable(now)]
    pool = pool or options
    if is_local_only:
        pool = [option for option in pool if option.is_local] or pool
    if len(pool) <= n_wanted:
        return pool
    free = [o for o in pool if o.has_idle and not o.health.is_doubtful(now)]
    if len(free) >= ENOUGH_FREE and rng.random() >= NEW_CONNECTION_SHARE:
        return rng.sample(free, n_wanted)
    sample = rng.sample(pool, min(len(pool), 2 * n_wanted))
    last = min(sample, key=lambda o: (o.health.is_doubtful(now), o.has_idle))
    sample.remove(last)
    sample.sort(key=lambda o: (o.health.is_doubtful(now), not o.has_idle))
    return [*sample[: n_wanted - 1], last]


def choose_without_reports(
    options: list[Option], now: Instant, rng: random.Random
) -> Option | None:
    """Return the better of two random endpoints by what this entry saw itself.

    It serves services whose servers don't tell their load, where asking would take a
    slot.
    """
    reachable = [option for option in options if not option.health.is_unreachable(now)]
    pool = reachable or options
    if not pool:
        return None
    local = [option for option in pool if option.is_local]
    if len(local) >= 2:
        pool = local
    pair = rng.sample(pool, min(2, len(pool)))
    return min(pair, key=_own_cost(now))


def _own_cost(now: Instant) -> Callable[[Option], float]:
    def cost(option: Option) -> float:
        health = option.health
        usual = max(health.latency_ms, 1.0)
        return (health.n_in_flight + 1) * usual * (1.0 + health.penalty(now))

    return cost
