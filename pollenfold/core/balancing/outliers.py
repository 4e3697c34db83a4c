"""Outlier ejection by one entry, limited to a share of the endpoints."""

from __future__ import annotations

from collections.abc import Container, Hashable
from statistics import median

from ..clock import Instant

EJECT_AFTER_FAILURES = 5
"""Consecutive failures after which an endpoint is ejected."""

EJECT_AFTER_FAST_FAILURES = 3
"""Consecutive failures, each faster than half the median latency, after which an
endpoint is ejected. A server that fails fast has few requests in flight and would
attract the most load."""

FAILURE_SHARE = 0.5
"""Moving average of the failure share at which an intermittent server is ejected."""

SLOW_FACTOR = 3.0
SLOW_MS = 5.0
"""An endpoint is slow above ``SLOW_FACTOR`` times the median latency of the endpoints
plus ``SLOW_MS``."""

MIN_SAMPLES = 10
MIN_PEERS = 3
"""With fewer measured endpoints the median is not meaningful."""

LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.1

MEDIAN_INTERVAL_MS = 100.0

EJECTION_MS = 1000.0
MAX_EJECTION_MS = 30_000.0
"""The first ejection lasts ``EJECTION_MS``, and each further one twice as long."""

EJECTION_RESET_MS = 60_000.0
"""If an endpoint stayed reinstated longer than this, its next ejection lasts
``EJECTION_MS`` again."""

TRIAL_TIMEOUT_MS = 10_000.0
"""A trial request without a result after this time counts as lost, and another one
may be sent."""


class _EndpointStats:
    """Moving averages and ejection status of one endpoint."""

    __slots__ = (
        "latency_ms",
        "n_successes",
        "failure_share",
        "n_results",
        "n_failures",
        "n_fast_failures",
        "n_ejections",
        "ejected_until",
        "reinstated_at",
        "trial_started_at",
    )

    def __init__(self) -> None:
        self.n_ejections = 0
        self.ejected_until: Instant | None = None
        self.reinstated_at: Instant | None = None
        self.trial_started_at: Instant | None = None
        self.reset()

    def reset(self) -> None:
        """Reset the averages, which describe the endpoint before its ejection."""
        self.latency_ms = 0.0
        self.n_successes = 0
        self.failure_share = 0.0
        self.n_results = 0
        self.n_failures = 0
        self.n_fast_failures = 0

    def add_success(self, latency_ms: float) -> None:
        self.n_successes += 1
        weight = max(LATENCY_WEIGHT, 1 / self.n_successes)
        self.latency_ms += weight * (latency_ms - self.latency_ms)
        self.n_failures = 0
        self.n_fast_failures = 0
        self._add_result(0.0)

    def add_failure(self, is_fast: bool) -> None:
        self.n_failures += 1
        self.n_fast_failures = self.n_fast_failures + 1 if is_fast else 0
        self._add_result(1.0)

    def _add_result(self, value: float) -> None:
        self.n_results += 1
        weight = max(FAILURE_WEIGHT, 1 / self.n_results)
        self.failure_share += weight * (value - self.failure_share)


class OutlierDetector:
    """Decides for one service which endpoints this entry excludes from selection.

    For example, five consecutive failures eject an endpoint for a second. After that
    ``is_ejected`` returns False; the call path calls ``start_trial`` when it sends a
    request, and until its result is recorded the endpoint is excluded again.
    """

    def __init__(self, max_ejected_share: float = 0.5) -> None:
        self._max_ejected_share = max_ejected_share
        self._stats: dict[Hashable, _EndpointStats] = {}
        self._ejected: dict[Hashable, _EndpointStats] = {}
        self._median_ms = 0.0
        self._median_at = Instant(float("-inf"))

    def is_ejected(self, key: Hashable, now: Instant) -> bool:
        """Return whether the endpoint is excluded from selection."""
        stats = self._ejected.get(key)
        if stats is None:
            return False
        if stats.ejected_until is None or now < stats.ejected_until:
            return True
        trial_started_at = stats.trial_started_at
        return (
            trial_started_at is not None and now - trial_started_at < TRIAL_TIMEOUT_MS
        )

    def start_trial(self, key: Hashable, now: Instant) -> None:
        """Start the trial of an ejected endpoint; do nothing for any other endpoint."""
        stats = self._ejected.get(key)
        if stats is not None:
            stats.trial_started_at = now

    def record(
        self, key: Hashable, is_failure: bool, latency_ms: float, now: Instant
    ) -> None:
        """Record the result of one request and eject the endpoint if it is an outlier.

        The call path doesn't record results of cold endpoints, which are slow for a
        known reason, nor refusals with status 503, which aren't failures.
        """
        stats = self._stats.get(key)
        if stats is None:
            stats = self._stats[key] = _EndpointStats()
        if stats.ejected_until is not None:
            self._record_ejected(key, stats, is_failure, latency_ms, now)
            return
        if is_failure:
            stats.add_failure(latency_ms < 0.5 * self._median(now))
        else:
            stats.add_success(latency_ms)
        if self._is_outlier(stats, is_failure, now) and self._may_eject():
            self._eject(key, stats, now)

    def retain(self, keys: Container[Hashable]) -> None:
        """Remove the endpoints that are not among ``keys``."""
        for key in [key for key in self._stats if key not in keys]:
            del self._stats[key]
            self._ejected.pop(key, None)

    @property
    def n_ejected(self) -> int:
        """The number of ejected endpoints."""
        return len(self._ejected)

    def _record_ejected(
        self,
        key: Hashable,
        stats: _EndpointStats,
        is_failure: bool,
        latency_ms: float,
        now: Instant,
    ) -> None:
        """Reinstate the endpoint or eject it again, based only on the trial request."""
        if (
            stats.ejected_until is None
            or now < stats.ejected_until
            or stats.trial_started_at is None
        ):
            return
        stats.trial_started_at = None
        median_ms = self._median(now)
        is_slow = median_ms > 0 and latency_ms > SLOW_FACTOR * median_ms + SLOW_MS
        if is_failure or is_slow:
            self._eject(key, stats, now)
            return
        stats.ejected_until = None
        stats.reinstated_at = now
        del self._ejected[key]
        stats.reset()
        stats.add_success(latency_ms)

    def _is_outlier(
        self, stats: _EndpointStats, is_failure: bool, now: Instant
    ) -> bool:
        if is_failure:
            return (
                stats.n_failures >= EJECT_AFTER_FAILURES
                or stats.n_fast_failures >= EJECT_AFTER_FAST_FAILURES
                or stats.n_results >= MIN_SAMPLES
                and stats.failure_share >= FAILURE_SHARE
            )
        if stats.n_successes < MIN_SAMPLES:
            return False
        median_ms = self._median(now)
        return median_ms > 0 and stats.latency_ms > SLOW_FACTOR * median_ms + SLOW_MS

    def _may_eject(self) -> bool:
        limit = int(self._max_ejected_share * len(self._stats))
        return len(self._ejected) < limit

    def _eject(self, key: Hashable, stats: _EndpointStats, now: Instant) -> None:
        if (
            stats.reinstated_at is not None
            and now - stats.reinstated_at > EJECTION_RESET_MS
        ):
            stats.n_ejections = 0
        stats.reinstated_at = None
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2**stats.n_ejections)
        stats.n_ejections = min(stats.n_ejections + 1, 16)
        stats.ejected_until = Instant(now + duration_ms)
        stats.trial_started_at = None
        self._ejected[key] = stats

    def _median(self, now: Instant) -> float:
        """Return the median of the average latencies, or 0 if too few are known."""
        if now - self._median_at >= MEDIAN_INTERVAL_MS:
            self._median_at = now
            means = [
                stats.latency_ms
                for stats in self._stats.values()
                if stats.n_successes >= MIN_SAMPLES
            ]
            self._median_ms = median(means) if len(means) >= MIN_PEERS else 0.0
        return self._median_ms
