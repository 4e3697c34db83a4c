"""Latency histograms by tenant, service and request class."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from ..core.records import RequestClass, ServiceSpec

_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)


class _Series:
    """The latencies of one key and the number of responses by status."""

    __slots__ = ("histogram", "n_by_status")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        self.n_by_status: dict[int, int] = {}


class Histograms:
    """Counts final responses by tenant, service and class.

    Latencies are stored in microseconds with two significant digits, that is within 1%.
    For example, ``histograms.summary()`` returns one dict per key, with
    ``p50_ms``, ``p99_ms`` and ``p99.9_ms``.
    """

    def __init__(self) -> None:
        self._series: dict[tuple[str, str, RequestClass], _Series] = {}

    def record(
        self,
        service: ServiceSpec,
        request_class: RequestClass,
        status: int,
        latency_ms: float,
    ) -> None:
        """Count one final response."""
        key = (service.tenant, service.name, request_class)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _Series()
        series.histogram.record_value(max(1, int(latency_ms * 1000)))
        series.n_by_status[status] = series.n_by_status.get(status, 0) + 1

    def summary(self) -> list[dict[str, object]]:
        """Return counts and percentiles for each key, for the status of the entry."""
        rows: list[dict[str, object]] = []
        for (tenant, service, request_class), series in self._series.items():
            row: dict[str, object] = {
                "tenant": tenant,
                "service": service,
                "class": request_class.value,
                "n_responses": sum(series.n_by_status.values()),
                "n_by_status": {str(k): n for k, n in series.n_by_status.items()},
            }
            for percentile in PERCENTILES:
                value_us = series.histogram.get_value_at_percentile(percentile)
                row[f"p{percentile:g}_ms"] = value_us / 1000
            rows.append(row)
        return rows
