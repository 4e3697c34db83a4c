"""Arrival times of open-loop load, in milliseconds from its start."""

from __future__ import annotations

import random
from collections.abc import Iterator


def poisson_arrivals(
    rate_per_s: float, duration_ms: float, rng: random.Random
) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in order."""
    at_ms = rng.expovariate(rate_per_s) * 1000
    while at_ms < duration_ms:
        yield at_ms
        at_ms += rng.expovariate(rate_per_s) * 1000


def burst_arrivals(
    rate_per_s: float,
    duration_ms: float,
    rng: random.Random,
    burst_every_ms: float = 500,
    burst_ms: float = 5,
    factor: float = 4,
) -> Iterator[float]:
    """Yield Poisson arrivals whose rate rises by the factor during each burst.

    The default burst is four times the rate for 5 ms, twice a second.
    """
    for at_ms in poisson_arrivals(rate_per_s * factor, duration_ms, rng):
        in_burst = at_ms % burst_every_ms < burst_ms
        if in_burst or rng.random() * factor < 1:
            yield at_ms
