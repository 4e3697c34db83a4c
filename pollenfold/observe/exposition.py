"""Metrics in the Prometheus text exposition format."""

from __future__ import annotations

from bisect import bisect_left

LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1300, 2000, 3500)

OTHER = "(other)"
"""The label value of all series beyond a limit."""

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters, gauges and histograms by name and labels.

    For example, ``metrics.count("requests_total", route="r1", status="200")`` and
    ``metrics.observe("request_ms", 12.5, route="r1")``.
    """

    def __init__(self, prefix: str = "pollenfold") -> None:
        self._prefix = prefix
        self._values: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], list[float]] = {}

    def count(self, name: str, n: float = 1.0, **labels: str) -> None:
        """Add to a counter."""
        key = (name, tuple(labels.items()))
        self._values[key] = self._values.get(key, 0.0) + n

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._values[(name, tuple(labels.items()))] = value

    def get(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge, or 0 if it was never set."""
        return self._values.get((name, tuple(labels.items())), 0.0)

    def observe(self, name: str, value_ms: float, **labels: str) -> None:
        """Add a latency to a histogram."""
        key = (name, tuple(labels.items()))
        series = self._histograms.get(key)
        if series is None:
            # A count per bucket, one for the +Inf bucket, then the sum.
            series = [0.0] * (len(LATENCY_BOUNDS_MS) + 2)
            self._histograms[key] = series
        series[bisect_left(LATENCY_BOUNDS_MS, value_ms)] += 1
        series[-1] += value_ms

    def render(self) -> str:
        """Return all metrics as text, one sample per line."""
        lines = [
            f"{self._prefix}_{name}{_format_labels(labels)} {value:g}"
            for (name, labels), value in self._values.items()
        ]
        for (name, labels), series in self._histograms.items():
            full_name = f"{self._prefix}_{name}"
            total = 0.0
            bounds = [str(bound) for bound in LATENCY_BOUNDS_MS] + ["+Inf"]
            for bound, n in zip(bounds, series, strict=False):
                total += n
                label_text = _format_labels((*labels, ("le", bound)))
                lines.append(f"{full_name}_bucket{label_text} {total:g}")
            lines.append(f"{full_name}_sum{_format_labels(labels)} {series[-1]:g}")
            lines.append(f"{full_name}_count{_format_labels(labels)} {total:g}")
        return "\n".join(lines) + "\n"


class BoundedLabel:
    """Limits how many values a label has, and with them the series of a metric.

    The first values keep series of their own, and all others share one.
    """

    def __init__(self, max_values: int) -> None:
        self._max_values = max_values
        self._values: set[str] = set()

    def get(self, value: str) -> str:
        """Return the value to use for the label."""
        if value in self._values:
            return value
        if len(self._values) == self._max_values:
            return OTHER
        self._values.add(value)
        return value


def _format_labels(labels: Labels) -> str:
    pairs = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + pairs + "}" if pairs else ""


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
