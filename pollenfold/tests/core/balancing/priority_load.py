"""A service under load in simulated time, with several entries and priorities."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from itertools import count

from pollenfold.core.balancing.overload import (
    AdmissionDecision,
    Placement,
    acceptable_slowdown,
    decide_admission,
)
from pollenfold.core.balancing.priority import ServicePriorities
from pollenfold.core.balancing.selection import (
    EARLY_ACCEPT_SLOWDOWN,
    KNEE_FACTOR,
    KNEE_UTILIZATION,
    ServerLoad,
    expected_slowdown,
)
from pollenfold.core.clock import Instant

ROUNDS = (2, 3, 3)
"""How many servers are probed in each round, as in ``gateway/balancer.py``."""


@dataclass(frozen=True)
class Demand:
    """Requests of one route: ``rate_per_s`` from ``from_ms`` to ``until_ms``."""

    name: str
    priority: int
    work_ms: float
    target_ms: float
    rate_per_s: float
    from_ms: float = 0.0
    until_ms: float = 1e9
    deadline_ms: float = 1_500.0


@dataclass
class Counts:
    """What became of the requests of one demand since the end of the warm-up."""

    n_requests: int = 0
    n_refused: int = 0
    n_held: int = 0
    n_in_time: int = 0
    n_idle_refused: int = 0

    @property
    def in_time_share(self):
        return self.n_in_time / max(1, self.n_requests)

    @property
    def refused_share(self):
        return self.n_refused / max(1, self.n_requests)


class SimulatedServer:
    """A server with slots and a queue, which slows down when most slots are busy."""

    def __init__(self, n_slots):
        self.n_slots = n_slots
        self.n_running = 0
        self.queue = deque()

    def load(self):
        return ServerLoad(self.n_running, len(self.queue), self.n_slots)

    def start(self):
        """Return the request that begins now and its duration, if one can."""
        if not self.queue or self.n_running == self.n_slots:
            return None
        request = self.queue.popleft()
        self.n_running += 1
        is_slow = self.n_running > KNEE_UTILIZATION * self.n_slots
        return request, request[0].work_ms * (KNEE_FACTOR if is_slow else 1.0)


@dataclass
class Simulation:
    """Runs demands against servers; each request comes to a random entry.

    Without ``uses_priorities`` the entries admit by target only.
    """

    demands: list
    n_entries: int = 20
    n_servers: int = 20
    n_slots: int = 2
    uses_priorities: bool = True
    seed: int = 1
    counts: dict = field(default_factory=dict)
    steps: list = field(default_factory=list)

    def run(self, duration_ms, counted_from_ms=0.0):
        rng = random.Random(self.seed)
        numbers = count()
        servers = [SimulatedServer(self.n_slots) for _ in range(self.n_servers)]
        entries = [ServicePriorities() for _ in range(self.n_entries)]
        self.counts = {demand.name: Counts() for demand in self.demands}
        events = []
        for demand in self.demands:
            at = demand.from_ms + rng.expovariate(demand.rate_per_s) * 1000
            while at < min(demand.until_ms, duration_ms):
                heapq.heappush(events, (at, next(numbers), "arrive", demand))
                at += rng.expovariate(demand.rate_per_s) * 1000
        while events:
            now, _, kind, subject = heapq.heappop(events)
            if kind == "arrive":
                is_counted = now >= counted_from_ms
                counts = self.counts[subject.name] if is_counted else Counts()
                counts.n_requests += 1
                entry = rng.choice(entries)
                server = self._admit(subject, entry, servers, counts, now, rng)
                self.steps.append((now, entry.step(subject.priority)))
                if server is None:
                    continue
                server.queue.append((subject, now, counts))
            else:
                server, (demand, started_at, counts) = subject
                server.n_running -= 1
                counts.n_in_time += now - started_at <= demand.target_ms
            while (begun := server.start()) is not None:
                request, duration = begun
                end = (now + duration, next(numbers), "end", (server, request))
                heapq.heappush(events, end)
        return self.counts

    def _admit(self, demand, entry, servers, counts, now, rng):
        best = None
        candidates = rng.sample(servers, min(sum(ROUNDS), len(servers)))
        for n_probes in ROUNDS:
            probed, candidates = candidates[:n_probes], candidates[n_probes:]
            best = min([*probed, *([best] if best else [])], key=_slowdown)
            if _slowdown(best) < EARLY_ACCEPT_SLOWDOWN:
                break
        slowdown, load = _slowdown(best), best.load()
        placement = Placement(
            demand.work_ms, slowdown, load, demand.target_ms, demand.deadline_ms
        )
        is_admitted = decide_admission(placement) is not AdmissionDecision.REFUSE
        if self.uses_priorities:
            limit = acceptable_slowdown(demand.work_ms, demand.target_ms)
            entry.record_search(demand.priority, limit, slowdown, Instant(now))
            if is_admitted and entry.holds_back(demand.priority, slowdown, load):
                counts.n_held += 1
                counts.n_idle_refused += load.n_running + load.n_waiting == 0
                is_admitted = False
        counts.n_refused += not is_admitted
        return best if is_admitted else None


def _slowdown(server):
    return expected_slowdown(server.load())
