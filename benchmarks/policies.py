"""Comparison of selection policies in a small discrete-event simulation.

Each entry knows only its own calls in flight, their latencies, and load reports that
are as old as the responses that carried them. One endpoint is slow, one has a noisy
neighbour, one fails fast for a part of the run, and one always reports that it is idle.
The simulation has no admission, ejection, retries or zone preference.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from pollenfold.core.clock import Instant
from pollenfold.core.routing import (
    Candidate,
    Policy,
    least_in_flight,
    observe_failure,
    observe_latency,
    probe_score,
    random_choice,
    round_robin,
    two_choices_ewma,
)

from .arrivals import burst_arrivals

N_ENTRIES = 12
N_ENDPOINTS = 20
N_ZONES = 3
SLOTS = 6
QUEUE_LIMIT = 24
SERVICE_MS = 10.0
LOAD = 0.7
DURATION_MS = 3000.0
DEADLINE_MS = 100.0
BURST_EVERY_MS, BURST_MS, BURST_FACTOR = 100.0, 5.0, 4.0
SAME_ZONE_MS, OTHER_ZONE_MS = 0.1, 1.0
SLOW, NOISY, FAILING, MISLEADING = 0, 1, 2, 3
"""Indexes of the endpoints with a fault."""


# Each entry creates its own policy, since round robin is stateful.
POLICIES: dict[str, Callable[[], Policy]] = {
    "random_choice": lambda: random_choice,
    "round_robin": round_robin,
    "least_in_flight": lambda: least_in_flight,
    "two_choices_ewma": lambda: two_choices_ewma,
    "probe_score": lambda: probe_score,
}


@dataclass(frozen=True, slots=True)
class Call:
    """One call; ``work_ms`` is its service time on a healthy endpoint."""

    at: float
    entry: int
    work_ms: float


def draw_calls(seed: int) -> list[Call]:
    """Return the calls of a seed; they are equal for all policies."""
    rng = random.Random(seed)
    capacity_per_s = N_ENDPOINTS * SLOTS / SERVICE_MS * 1000
    burst_share = BURST_MS / BURST_EVERY_MS
    rate_per_s = LOAD * capacity_per_s / (1 + burst_share * (BURST_FACTOR - 1))
    arrivals = burst_arrivals(
        rate_per_s, DURATION_MS, rng, BURST_EVERY_MS, BURST_MS, BURST_FACTOR
    )
    sigma = 0.5
    mu = math.log(SERVICE_MS) - sigma**2 / 2
    return [
        Call(at, rng.randrange(N_ENTRIES), rng.lognormvariate(mu, sigma))
        for at in arrivals
    ]


def is_failing(endpoint: int, now: float) -> bool:
    """Return whether the endpoint fails fast; one does so in the middle third."""
    return endpoint == FAILING and DURATION_MS / 3 <= now < DURATION_MS * 2 / 3


def slowdown_factor(endpoint: int, now: float) -> float:
    """Return the factor that multiplies the service time now."""
    if endpoint == SLOW and now >= DURATION_MS / 5:
        return 4.0
    if endpoint == NOISY and now % 250 < 50:
        return 6.0
    return 1.0


@dataclass(slots=True)
class _Endpoint:
    n_working: int = 0
    queue: deque[Call] = field(default_factory=deque)


@dataclass(slots=True)
class PolicyResult:
    """Figures of one policy; ``latency`` is of successful responses in microseconds.

    ``n_good`` counts the successful responses that arrived before the deadline.
    """

    n_calls: int = 0
    n_good: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 10**8, 3))


class Model:
    """Simulates the calls of one seed under one policy."""

    def __init__(self, make_policy: Callable[[], Policy], seed: int) -> None:
        self._policies = [make_policy() for _ in range(N_ENTRIES)]
        self._rng = random.Random(f"policy:{seed}")
        self._calls = draw_calls(seed)
        self._views = [
            [
                Candidate(str(n), str(n % N_ZONES), SLOTS, ewma_ms=SERVICE_MS)
                for n in range(N_ENDPOINTS)
            ]
            for _ in range(N_ENTRIES)
        ]
        self._endpoints = [_Endpoint() for _ in range(N_ENDPOINTS)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self.result = PolicyResult()

    def run(self) -> PolicyResult:
        """Run until every call has a response."""
        for call in self._calls:
            self._schedule(call.at, lambda now, call=call: self._dispatch(call, now))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.result

    def _schedule(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def _dispatch(self, call: Call, now: float) -> None:
        view = self._views[call.entry]
        chosen = self._policies[call.entry](view, self._rng, Instant(now))
        chosen.n_in_flight += 1
        self.result.n_calls += 1
        n = int(chosen.key)
        when = now + _network_delay_ms(call.entry, n)
        self._schedule(when, lambda now: self._receive_request(call, n, now))

    def _receive_request(self, call: Call, n: int, now: float) -> None:
        endpoint = self._endpoints[n]
        if is_failing(n, now) or len(endpoint.queue) >= QUEUE_LIMIT:
            self._send_response(call, n, now, is_good=False)
        elif endpoint.n_working < SLOTS:
            self._start_work(call, n, now)
        else:
            endpoint.queue.append(call)

    def _start_work(self, call: Call, n: int, now: float) -> None:
        self._endpoints[n].n_working += 1
        when = now + call.work_ms * slowdown_factor(n, now)
        self._schedule(when, lambda now: self._finish_work(call, n, now))

    def _finish_work(self, call: Call, n: int, now: float) -> None:
        endpoint = self._endpoints[n]
        endpoint.n_working -= 1
        self._send_response(call, n, now, is_good=True)
        if endpoint.queue:
            self._start_work(endpoint.queue.popleft(), n, now)

    def _send_response(self, call: Call, n: int, now: float, is_good: bool) -> None:
        endpoint = self._endpoints[n]
        load = 0 if n == MISLEADING else endpoint.n_working + len(endpoint.queue)
        when = now + _network_delay_ms(call.entry, n)
        self._schedule(
            when, lambda at: self._receive_response(call, n, at, now, load, is_good)
        )

    def _receive_response(
        self, call: Call, n: int, now: float, sent_at: float, load: int, is_good: bool
    ) -> None:
        candidate = self._views[call.entry][n]
        candidate.n_in_flight -= 1
        candidate.reported_in_flight = load
        candidate.reported_at = Instant(sent_at)
        latency_ms = now - call.at
        if not is_good:
            observe_failure(candidate, DEADLINE_MS, Instant(now))
            return
        observe_latency(candidate, latency_ms, Instant(now))
        self.result.latency.record_value(max(1, round(latency_ms * 1000)))
        if latency_ms <= DEADLINE_MS:
            self.result.n_good += 1


def _network_delay_ms(entry: int, endpoint: int) -> float:
    is_same_zone = entry % N_ZONES == endpoint % N_ZONES
    return SAME_ZONE_MS if is_same_zone else OTHER_ZONE_MS


def compare_policies(seeds: list[int]) -> Iterator[str]:
    """Yield the figures of each policy and seed, with random choice as baseline."""
    for seed in seeds:
        base: dict[str, float] = {}
        for name, make in POLICIES.items():
            result = Model(make, seed).run()
            for figure, value in _figures(result).items():
                base.setdefault(figure, value)
                yield (
                    f"policy.{name}.seed{seed}.{figure}={value:.3f} "
                    f"baseline_random={base[figure]:.3f}"
                )


def _figures(result: PolicyResult) -> dict[str, float]:
    figures = {
        f"p{percentile:g}_ms": result.latency.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99, 99.9)
    }
    figures["goodput_share"] = result.n_good / result.n_calls
    return figures


if __name__ == "__main__":
    for line in compare_policies([1, 2, 3]):
        print(line)
