"""Selection policies, which choose the backend server for a request.

Every policy is a plain function of candidates, a random number generator and the
time, so the daemon, the tests and the benchmark run the same code.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

from .clock import Instant

REPORT_HALF_LIFE_MS = 50.0
"""The weight of a load report halves in this time, since load changes within ms."""

REPORT_LIFETIME_MS = 8 * REPORT_HALF_LIFE_MS
"""An older report is ignored; even a tiny weight would decide between otherwise equal
candidates."""

DECAY_AFTER_MS = 200.0
DECAY_HALF_LIFE_MS = 1000.0

N_CHOICES = 3


@dataclass(slots=True, eq=False)
class Candidate:
    """The state of one endpoint as one entry observes it.

    ``n_in_flight`` counts this entry's own requests. ``ewma_ms`` is a peak-sensitive
    average latency. ``reported_in_flight`` is the load from all entries, as the
    server reported it at ``reported_at``. ``limit`` is the number of concurrent
    requests that this entry may currently have there.
    """

    key: str
    zone: str
    slots: int
    limit: int = 1
    is_warming: bool = False
    n_in_flight: int = 0
    ewma_ms: float = 0.0
    reported_in_flight: float = 0.0
    reported_at: Instant = Instant(-1e9)
    observed_at: Instant = Instant(-1e9)

    @property
    def has_capacity(self) -> bool:
        """Whether this entry may send one more request to the endpoint."""
        return self.n_in_flight < self.limit


Policy = Callable[[Sequence[Candidate], random.Random, Instant], Candidate]


def random_choice(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Choose uniformly at random."""
    return candidates[int(rng.random() * len(candidates))]


def round_robin() -> Policy:
    """Return a policy that cycles through the candidates."""
    turns = count()

    def choose(
        candidates: Sequence[Candidate], rng: random.Random, now: Instant
    ) -> Candidate:
        return candidates[next(turns) % len(candidates)]

    return choose


def least_in_flight(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Choose the fewest requests in flight from this entry, at random among ties."""
    fewest = min(candidate.n_in_flight for candidate in candidates)
    return rng.choice([c for c in candidates if c.n_in_flight == fewest])


def two_choices_ewma(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Sample two and choose the lower product of latency and requests in flight."""
    first = random_choice(candidates, rng, now)
    second = random_choice(candidates, rng, now)
    return min(first, second, key=_expected_ms)


def _expected_ms(candidate: Candidate) -> float:
    return (candidate.n_in_flight + 1) * (candidate.ewma_ms + 0.01)


def probe_score(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Sample three and choose the one with the lowest ``score``."""
    n_candidates = len(candidates)
    best = candidates[int(rng.random() * n_candidates)]
    best_score = score(best, now)
    for _ in range(N_CHOICES - 1):
        other = candidates[int(rng.random() * n_candidates)]
        other_score = score(other, now)
        if other_score < best_score:
            best, best_score = other, other_score
    return best


def score(candidate: Candidate, now: Instant) -> float:
    """Return the expected latency in ms of one more request; lower is better.

    The reported load has a weight that halves every 50 ms. Only the excess over this
    entry's own requests counts, so a server gains nothing by reporting too low a load.
    """
    load = candidate.n_in_flight + 1.0
    report_age_ms = now - candidate.reported_at
    if report_age_ms < REPORT_LIFETIME_MS:
        excess_in_flight = max(
            0.0, candidate.reported_in_flight - candidate.n_in_flight
        )
        weight = 0.5 ** (report_age_ms / REPORT_HALF_LIFE_MS)
        load += excess_in_flight * weight / candidate.slots
    return load * (_decayed_ewma_ms(candidate, now) + 0.01)


def _decayed_ewma_ms(candidate: Candidate, now: Instant) -> float:
    """Return the average latency, decayed for a candidate without recent requests.

    Without the decay one slow response could exclude a server permanently: it would
    never be chosen, so its average would never fall.
    """
    idle_ms = now - candidate.observed_at
    if idle_ms < DECAY_AFTER_MS:
        return candidate.ewma_ms
    return float(candidate.ewma_ms * 0.5 ** (idle_ms / DECAY_HALF_LIFE_MS))


def prefer_zone(candidates: Sequence[Candidate], zone: str) -> Sequence[Candidate]:
    """Return the candidates of the local zone while it has spare capacity, else all.

    Requests spill over to other zones when every local endpoint has as many requests
    of this entry as slots, before any of them has to queue. Cold endpoints of other
    zones are always included: no other entry may send to them, so they would stay
    cold as long as the local zone has spare capacity.
    """
    local = [c for c in candidates if c.zone == zone and c.n_in_flight < c.slots]
    if not local:
        return candidates
    return local + [c for c in candidates if c.is_warming and c.zone != zone]


PEAK_DECAY = 0.1


def observe_latency(candidate: Candidate, latency_ms: float, now: Instant) -> None:
    """Update the average latency, which rises immediately and falls slowly."""
    decayed_ms = _decayed_ewma_ms(candidate, now)
    if latency_ms > decayed_ms:
        candidate.ewma_ms = latency_ms
    else:
        candidate.ewma_ms = decayed_ms + PEAK_DECAY * (latency_ms - decayed_ms)
    candidate.observed_at = now


def observe_failure(candidate: Candidate, timeout_ms: float, now: Instant) -> None:
    """Count a failed call with the full timeout as its latency.

    Otherwise a server that fails fast would appear fast and attract load.
    """
    observe_latency(candidate, timeout_ms, now)
