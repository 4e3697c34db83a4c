"""Figures of the calls that were due in a span of time. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from .load import MAX_LATENCY_US, Outcome

SLOW_RATIO = 3.0
"""A request slower than this many times the steady p99 counts as hurt."""


@dataclass(slots=True)
class Window:
    """The calls of one class that were due in one span of time."""

    n_sent: int = 0
    n_whole: int = 0
    failures: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)

    def percentile_ms(self, percentile: float) -> float:
        """Return the latency below which that percentage of whole answers lies."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for latency_ms in self.latencies_ms:
            histogram.record_value(max(1, min(int(latency_ms * 1000), MAX_LATENCY_US)))
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    def hurt_share(self, limit_ms: float) -> float:
        """Return the share that got no whole answer, or one after the limit."""
        n_slow = sum(latency_ms > limit_ms for latency_ms in self.latencies_ms)
        return (self.n_sent - self.n_whole + n_slow) / max(1, self.n_sent)


def window(
    outcomes: Iterable[Outcome],
    kind: str = "idempotent",
    from_ms: float = float("-inf"),
    to_ms: float = float("inf"),
) -> Window:
    """Collect the calls of a class whose due time lies in ``[from_ms, to_ms)``."""
    result = Window()
    for one in outcomes:
        if one.kind.name != kind or not from_ms <= one.due < to_ms:
            continue
        result.n_sent += 1
        if one.state == "whole":
            result.n_whole += 1
            result.latencies_ms.append(one.latency_ms)
        else:
            result.failures[one.state] += 1
    return result


def window_lines(
    name: str, one: Window, steady: Window, limit_ratio: float | None = None
) -> Iterator[str]:
    """Yield the p99 of a window beside the steady one, and what failed."""
    value, base = one.percentile_ms(99), steady.percentile_ms(99)
    limit = "" if limit_ratio is None else f" limit_ratio={limit_ratio}"
    yield (
        f"{name}.idempotent.p99_ms={value:.1f} steady={base:.1f} "
        f"ratio={value / base:.2f}{limit}"
    )
    reasons = "".join(f" {state}={n}" for state, n in sorted(one.failures.items()))
    yield (
        f"{name}.idempotent.not_whole={one.n_sent - one.n_whole} "
        f"sent={one.n_sent} steady={steady.n_sent - steady.n_whole}{reasons}"
    )


def hurt_line(name: str, one: Window, steady: Window) -> str:
    """Return the share of requests hurt beside the steady one."""
    limit_ms = SLOW_RATIO * steady.percentile_ms(99)
    return (
        f"{name}.idempotent.hurt_share={one.hurt_share(limit_ms):.4f} "
        f"steady={steady.hurt_share(limit_ms):.4f} slow_above_ms={limit_ms:.1f}"
    )
