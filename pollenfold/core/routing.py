"""Selection of a backend server for one request.

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
"""A load report loses half of its weight in this time, since load shifts in ms."""

REPORT_LIFETIME_MS = 8 * REPORT_HALF_LIFE_MS
"""An older report is ignored: even a vanishing weight would decide between otherwise
equal candidates."""

FADE_AFTER_MS = 200.0
FADE_HALF_LIFE_MS = 1000.0

N_CHOICES = 3


@dataclass(slots=True, eq=False)
class Candidate:
    """What one entry knows of one endpoint.

    ``n_in_flight`` counts this entry's own requests. ``ewma_ms`` is a peak-sensitive
    average latency. ``reported_in_flight`` is the load over all entries that the
    server reported at ``reported_at``. ``limit`` is the concurrency that this entry
    may have there now.
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
    def has_room(self) -> bool:
        """Whether this entry may send one more request there."""
        return self.n_in_flight < self.limit


Policy = Callable[[Sequence[Candidate], random.Random, Instant], Candidate]


def random_choice(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Choose uniformly."""
    return candidates[int(rng.random() * len(candidates))]


def round_robin() -> Policy:
    """Return a policy that takes the candidates in turn."""
    turns = count()

    def choose(
        candidates: Sequence[Candidate], rng: random.Random, now: Instant
    ) -> Candidate:
        return candidates[next(turns) % len(candidates)]

    return choose


def least_in_flight(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Choose the fewest own requests in flight, at random among equals."""
    fewest = min(candidate.n_in_flight for candidate in candidates)
    return rng.choice([c for c in candidates if c.n_in_flight == fewest])


def two_choices_ewma(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Draw two and choose the lower product of latency and requests in flight."""
    first = random_choice(candidates, rng, now)
    second = random_choice(candidates, rng, now)
    return min(first, second, key=_expected_ms)


def _expected_ms(candidate: Candidate) -> float:
    return (candidate.n_in_flight + 1) * (candidate.ewma_ms + 0.01)


def probe_score(
    candidates: Sequence[Candidate], rng: random.Random, now: Instant
) -> Candidate:
    """Draw three and choose by own requests in flight, latency and aged reports."""
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

    The reported load counts with a weight that halves every 50 ms. It never counts
    for less than this entry's own requests, so a server that reports too little
    gains nothing over what the entry sees itself.
    """
    load = candidate.n_in_flight + 1.0
    report_age_ms = now - candidate.reported_at
    if report_age_ms < REPORT_LIFETIME_MS:
        excess = max(0.0, candidate.reported_in_flight - candidate.n_in_flight)
        trust = 0.5 ** (report_age_ms / REPORT_HALF_LIFE_MS)
        load += excess * trust / candidate.slots
    return load * (_present_ewma_ms(candidate, now) + 0.01)


def _present_ewma_ms(candidate: Candidate, now: Instant) -> float:
    """Return the average latency, faded for a candidate that gets no requests.

    Without fading one slow response could keep a server out for good: it is never
    chosen, so its average never falls.
    """
    idle_ms = now - candidate.observed_at
    if idle_ms < FADE_AFTER_MS:
        return candidate.ewma_ms
    return float(candidate.ewma_ms * 0.5 ** (idle_ms / FADE_HALF_LIFE_MS))


def prefer_zone(candidates: Sequence[Candidate], zone: str) -> Sequence[Candidate]:
    """Return the candidates to choose from: the own zone while it has room.

    Requests spill over to the other zones when every endpoint of the own zone has as
    many own requests as slots, before any of them has to queue. A cold endpoint of
    another zone belongs to the choice as well: no other entry may send to it, so it
    would stay cold as long as the own zone has room.
    """
    local = [c for c in candidates if c.zone == zone and c.n_in_flight < c.slots]
    if not local:
        return candidates
    return local + [c for c in candidates if c.is_warming and c.zone != zone]


PEAK_DECAY = 0.1


def observe_latency(candidate: Candidate, latency_ms: float, now: Instant) -> None:
    """Update the average latency: a rise counts at once, a fall slowly."""
    present_ms = _present_ewma_ms(candidate, now)
    if latency_ms > present_ms:
        candidate.ewma_ms = latency_ms
    else:
        candidate.ewma_ms = present_ms + PEAK_DECAY * (latency_ms - present_ms)
    candidate.observed_at = now


def observe_failure(candidate: Candidate, timeout_ms: float, now: Instant) -> None:
    """Count a failed call as one that took the whole timeout.

    Otherwise a server that fails fast would look quick and attract load.
    """
    observe_latency(candidate, timeout_ms, now)
