"""Figures of the calls scheduled within a time window. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from .load import MAX_LATENCY_US, Outcome

SLOW_RATIO = 3.0
"""Requests slower than this multiple of the steady p99 count in ``hurt_share``."""


@dataclass(slots=True)
class Window:
    """The calls of one class that were scheduled within one time window."""

    n_sent: int = 0
    n_complete: int = 0
    failures: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of the complete responses."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for latency_ms in self.latencies_ms:
            histogram.record_value(max(1, min(int(latency_ms * 1000), MAX_LATENCY_US)))
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    def hurt_share(self, limit_ms: float) -> float:
        """Return the share without a complete response within the limit."""
        n_slow = sum(latency_ms > limit_ms for latency_ms in self.latencies_ms)
        return (self.n_sent - self.n_complete + n_slow) / max(1, self.n_sent)


def window(
    outcomes: Iterable[Outcome],
    kind: str = "idempotent",
    from_ms: float = float("-inf"),
    to_ms: float = float("inf"),
) -> Window:
    """Collect the calls of a class that were scheduled in ``[from_ms, to_ms)``."""
    result = Window()
    for outcome in outcomes:
        if outcome.kind.name != kind or not from_ms <= outcome.due < to_ms:
            continue
        result.n_sent += 1
        if outcome.state == "whole":
            result.n_complete += 1
            result.latencies_ms.append(outcome.latency_ms)
        else:
            result.failures[outcome.state] += 1
    return result


def window_lines(
    name: str, measured: Window, steady: Window, limit_ratio: float | None = None
) -> Iterator[str]:
    """Yield the p99 with the steady p99 as baseline, and the failures."""
    value, base = measured.percentile_ms(99), steady.percentile_ms(99)
    limit = "" if limit_ratio is None else f" limit_ratio={limit_ratio}"
    yield (
        f"{name}.idempotent.p99_ms={value:.1f} steady={base:.1f} "
        f"ratio={value / base:.2f}{limit}"
    )
    reasons = "".join(f" {state}={n}" for state, n in sorted(measured.failures.items()))
    yield (
        f"{name}.idempotent.not_whole={measured.n_sent - measured.n_complete} "
        f"sent={measured.n_sent} steady={steady.n_sent - steady.n_complete}{reasons}"
    )


def hurt_line(name: str, measured: Window, steady: Window) -> str:
    """Return the share of failed or slow requests with the steady share as baseline."""
    limit_ms = SLOW_RATIO * steady.percentile_ms(99)
    return (
        f"{name}.idempotent.hurt_share={measured.hurt_share(limit_ms):.4f} "
        f"steady={steady.hurt_share(limit_ms):.4f} slow_above_ms={limit_ms:.1f}"
    )
