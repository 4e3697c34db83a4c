"""Latency and extra work of hedged requests in a small discrete-event simulation.

    python -m benchmarks.hedging --seeds 1 2 3

Entries decide with ``pollenfold.core.hedging`` and the retry budget, each for its own
requests. A slow response is slow in one attempt only: another endpoint takes the usual
time. Endpoints run as many requests as they have slots, slow down above the knee, and
drop a cancelled request at once. The network takes no time, and reports are exact.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pollenfold.core.allowances import FleetSize
from pollenfold.core.balancing.overload import (
    AdmissionDecision,
    Placement,
    WorkEstimate,
    decide_admission,
)
from pollenfold.core.balancing.selection import (
    EARLY_ACCEPT_SLOWDOWN,
    KNEE_FACTOR,
    KNEE_UTILIZATION,
    ServerLoad,
    expected_slowdown,
)
from pollenfold.core.clock import Instant
from pollenfold.core.hedging import (
    HedgeBudget,
    HedgeDecision,
    HedgeMoment,
    LatencyRatios,
    censored_ratio,
    decide_hedge,
    hedge_delay_ms,
    hedge_quantile,
    hedge_slowdown_limit,
)
from pollenfold.core.retry_budget import RetryBudget, RetryLimits

N_ENTRIES = 49
N_ENDPOINTS = 20
N_SLOTS = 6
WORK_MS = (264.0, 140.0, 90.0)
"""The usual time of each route, equally frequent."""

SIGMA = 0.15
SLOW_FACTOR = 7.0
TARGET_MS, DEADLINE_MS = 1_400.0, 8_000.0
DURATION_MS, WARMUP_MS = 180_000.0, 60_000.0
RETRY_LIMITS = RetryLimits(0.2, 64, 10_000.0)
RATIOS = (0.0, 0.02, 0.05, 0.1)


@dataclass(frozen=True, slots=True)
class Scenario:
    """``load`` is the demand relative to all slots, without slow responses."""

    name: str
    load: float
    slow_share: float


SCENARIOS = (
    Scenario("3 of 100 slow", 0.4, 0.03),
    Scenario("none slow", 0.4, 0.0),
    Scenario("3 of 100 slow, busy", 0.5, 0.03),
    Scenario("overload", 1.5, 0.03),
)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at an endpoint; ``run_at`` is None while it waits for a slot."""

    request: Request
    endpoint: Endpoint
    slowdown: float
    started_at: float
    run_at: float | None = None
    is_over: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, with its attempts."""

    entry: Entry
    route: int
    at: float
    attempts: list[Attempt] = field(default_factory=list)
    is_done: bool = False


@dataclass(slots=True, eq=False)
class Endpoint:
    """A server with slots and a queue."""

    running: set[Attempt] = field(default_factory=set)
    waiting: deque[Attempt] = field(default_factory=deque)

    def slowdown(self) -> float:
        """Return what a probe at this moment lets an entry expect."""
        load = ServerLoad(len(self.running), len(self.waiting), N_SLOTS)
        return expected_slowdown(load)


class Entry:
    """What one entry knows."""

    def __init__(self, name: str, ratio: float) -> None:
        self.budget = HedgeBudget(ratio)
        self.ratios = LatencyRatios()
        self.work = [WorkEstimate(TARGET_MS) for _ in WORK_MS]
        self.retries = RetryBudget(RETRY_LIMITS, name, Instant(-20_000.0))
        self.least_slowdown = 1.0
        self.refused_at = Instant(float("-inf"))


@dataclass(slots=True)
class Figures:
    """What one run shows after the warm-up."""

    latencies_ms: list[float] = field(default_factory=list)
    n_requests: int = 0
    n_refused: int = 0
    n_hedges: int = 0
    work_ms: float = 0.0

    def percentile(self, share: float) -> float:
        """Return a percentile of the latency of the requests that were served."""
        ordered = sorted(self.latencies_ms)
        return ordered[int(share * (len(ordered) - 1))]


class Model:
    """One run of one scenario with one ratio."""

    def __init__(self, scenario: Scenario, ratio: float, seed: int) -> None:
        self.scenario = scenario
        self.ratio = ratio
        self.rng = random.Random(seed)
        self.now = 0.0
        self.figures = Figures()
        self.endpoints = [Endpoint() for _ in range(N_ENDPOINTS)]
        names = [f"e{number}" for number in range(N_ENTRIES)]
        self.entries = [Entry(name, ratio) for name in names]
        fleet = FleetSize()
        fleet.report(N_ENTRIES, Instant(0.0))
        for entry in self.entries:
            for at in (-20_000.0, 0.0):
                entry.retries.update_share(fleet, frozenset(names), Instant(at))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        mean_ms = sum(WORK_MS) / len(WORK_MS)
        self._mean_gap_ms = mean_ms / (scenario.load * N_ENDPOINTS * N_SLOTS)

    def run(self) -> Figures:
        """Simulate all requests of the run."""
        self._at(self.rng.expovariate(1 / self._mean_gap_ms), self._arrive)
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self.figures

    def _at(self, when: float, event: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (when, self._n_events, event))

    @property
    def _is_measured(self) -> bool:
        return self.now >= WARMUP_MS

    # Requests

    def _arrive(self) -> None:
        rng = self.rng
        gap_ms = rng.expovariate(1 / self._mean_gap_ms)
        if self.now + gap_ms < DURATION_MS:
            self._at(self.now + gap_ms, self._arrive)
        entry = rng.choice(self.entries)
        request = Request(entry, rng.randrange(len(WORK_MS)), self.now)
        entry.budget.deposit()
        entry.retries.count_request("s", Instant(self.now))
        self.figures.n_requests += self._is_measured
        endpoint, slowdown = self._select(entry, [])
        work_ms = entry.work[request.route].get()
        load = ServerLoad(len(endpoint.running), len(endpoint.waiting), N_SLOTS)
        placement = Placement(work_ms, slowdown, load, TARGET_MS, DEADLINE_MS)
        if decide_admission(placement) is AdmissionDecision.REFUSE:
            entry.refused_at = Instant(self.now)
            self.figures.n_refused += self._is_measured
            return
        self._start(request, endpoint, slowdown)
        quantile = entry.ratios.quantile(hedge_quantile(self.ratio))
        if self.ratio and quantile is not None:
            delay_ms = hedge_delay_ms(work_ms * slowdown, quantile)
            self._at(self.now + delay_ms, lambda: self._hedge(request))

    def _select(self, entry: Entry, excluded: list[Endpoint]) -> tuple[Endpoint, float]:
        """Probe two endpoints, and three more if none of them is fast."""
        usable = [e for e in self.endpoints if e not in excluded]
        chosen = self.rng.sample(usable, 5)
        best = min(chosen[:2], key=Endpoint.slowdown)
        if best.slowdown() >= EARLY_ACCEPT_SLOWDOWN:
            best = min(chosen, key=Endpoint.slowdown)
        entry.least_slowdown = best.slowdown()
        return best, best.slowdown()

    def _hedge(self, request: Request) -> None:
        entry, first = request.entry, request.attempts[0]
        if request.is_done:
            return
        moment = HedgeMoment(
            Instant(self.now),
            True,
            1,
            2,
            entry.least_slowdown,
            entry.refused_at,
            entry.work[request.route].get(),
            Instant(request.at + TARGET_MS),
            Instant(request.at + DEADLINE_MS),
        )
        if decide_hedge(moment) is not HedgeDecision.SEND:
            return
        if not entry.budget.withdraw():
            return
        endpoint, slowdown = self._select(entry, [first.endpoint])
        if slowdown > hedge_slowdown_limit(moment):
            return
        if entry.retries.try_acquire("s", Instant(self.now)).is_permitted:
            self.figures.n_hedges += self._is_measured
            self._start(request, endpoint, slowdown)

    # Attempts

    def _start(self, request: Request, endpoint: Endpoint, slowdown: float) -> None:
        attempt = Attempt(request, endpoint, slowdown, self.now)
        request.attempts.append(attempt)
        endpoint.waiting.append(attempt)
        self._fill(endpoint)

    def _fill(self, endpoint: Endpoint) -> None:
        while endpoint.waiting and len(endpoint.running) < N_SLOTS:
            attempt = endpoint.waiting.popleft()
            endpoint.running.add(attempt)
            attempt.run_at = self.now
            work_ms = WORK_MS[attempt.request.route]
            work_ms *= self.rng.lognormvariate(0.0, SIGMA)
            if self.rng.random() < self.scenario.slow_share:
                work_ms *= SLOW_FACTOR
            if len(endpoint.running) > KNEE_UTILIZATION * N_SLOTS:
                work_ms *= KNEE_FACTOR
            self._at(self.now + work_ms, lambda a=attempt: self._complete(a))

    def _complete(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        request, entry = attempt.request, attempt.request.entry
        request.is_done = True
        estimate = entry.work[request.route]
        latency_ms = self.now - attempt.started_at
        expected_ms = estimate.get() * attempt.slowdown
        entry.ratios.observe(latency_ms / expected_ms)
        estimate.observe(latency_ms, attempt.slowdown)
        if request.at >= WARMUP_MS:
            self.figures.latencies_ms.append(self.now - request.at)
        for other in request.attempts:
            self._release(other)
            if other is not attempt:
                self._observe_cancelled(other)

    def _observe_cancelled(self, attempt: Attempt) -> None:
        entry = attempt.request.entry
        expected_ms = entry.work[attempt.request.route].get() * attempt.slowdown
        quantile = entry.ratios.quantile(hedge_quantile(self.ratio))
        ratio = censored_ratio(self.now - attempt.started_at, expected_ms, quantile)
        if ratio is not None:
            entry.ratios.observe(ratio)

    def _release(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        endpoint = attempt.endpoint
        if attempt.run_at is None:
            endpoint.waiting.remove(attempt)
            return
        endpoint.running.discard(attempt)
        if self._is_measured:
            self.figures.work_ms += self.now - max(attempt.run_at, WARMUP_MS)
        self._fill(endpoint)


def main() -> None:
    """Print one line for each scenario, seed and ratio."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    seeds = parser.parse_args().seeds
    for scenario in SCENARIOS:
        print(f"# {scenario.name}, load {scenario.load}")
        for seed in seeds:
            base = Model(scenario, 0.0, seed).run()
            for ratio in RATIOS:
                figures = base if not ratio else Model(scenario, ratio, seed).run()
                print(describe(figures, base, ratio, seed))


def describe(figures: Figures, base: Figures, ratio: float, seed: int) -> str:
    """Return the figures of a run, and their ratios to the run without hedges."""
    p50, p99 = figures.percentile(0.5), figures.percentile(0.99)
    return (
        f"seed={seed} ratio={ratio:.2f}"
        f" p50={p50:.0f}ms ({p50 / base.percentile(0.5):.2f})"
        f" p99={p99:.0f}ms ({p99 / base.percentile(0.99):.2f})"
        f" work={figures.work_ms / base.work_ms:.3f}"
        f" hedges={figures.n_hedges / figures.n_requests:.4f}"
        f" refused={figures.n_refused / figures.n_requests:.4f}"
    )


if __name__ == "__main__":
    main()
