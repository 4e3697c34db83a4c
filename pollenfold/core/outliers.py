"""Ejection of endpoints by one entry for itself, with a limit on the share ejected."""

from __future__ import annotations

from collections.abc import Container, Hashable
from statistics import median

from .clock import Instant

N_FAILURES = 5
"""Consecutive failures that eject."""

N_FAST_FAILURES = 3
"""Consecutive failures faster than half the median success that eject. A server that
fails fast has few requests in flight and would attract the most load."""

FAILURE_SHARE = 0.5
"""Share of failures, as a moving mean, that ejects a server which sometimes works."""

SLOW_FACTOR = 3.0
SLOW_MS = 5.0
"""A slow endpoint is above ``SLOW_FACTOR`` times the median of the endpoints plus
``SLOW_MS``."""

MIN_SAMPLES = 10
MIN_PEERS = 3
"""Fewer endpoints with figures give no meaningful median."""

LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.1

MEDIAN_INTERVAL_MS = 100.0

EJECTION_MS = 1000.0
MAX_EJECTION_MS = 30_000.0
"""The first ejection lasts ``EJECTION_MS``, and each further one twice as long."""

FORGIVE_MS = 60_000.0
"""An endpoint that stayed in for this time starts again with the first ejection."""

TRIAL_TIMEOUT_MS = 10_000.0
"""A trial request without a result after this time counts as lost."""


class _State:
    """Moving figures and the ejection of one endpoint."""

    __slots__ = (
        "latency_ms",
        "n_successes",
        "failure_share",
        "n_results",
        "n_failures",
        "n_fast_failures",
        "n_ejections",
        "until",
        "returned_at",
        "trial_since",
    )

    def __init__(self) -> None:
        self.n_ejections = 0
        self.until: Instant | None = None
        self.returned_at: Instant | None = None
        self.trial_since: Instant | None = None
        self.reset()

    def reset(self) -> None:
        """Drop the figures; they describe the endpoint before its ejection."""
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
    """Decides for one service which endpoints this entry leaves out.

    For example, five failures in a row eject an endpoint for a second. After that
    ``is_ejected`` lets it be selected; the call path then calls ``start_trial``, and
    until the result of this one request is recorded the endpoint is left out again.
    """

    def __init__(self, max_ejected_share: float = 0.5) -> None:
        self._max_ejected_share = max_ejected_share
        self._states: dict[Hashable, _State] = {}
        self._ejected: dict[Hashable, _State] = {}
        self._median_ms = 0.0
        self._median_at = Instant(float("-inf"))

    def is_ejected(self, key: Hashable, now: Instant) -> bool:
        """Return whether the endpoint must get no request at this time."""
        state = self._ejected.get(key)
        if state is None:
            return False
        if state.until is None or now < state.until:
            return True
        trial_since = state.trial_since
        return trial_since is not None and now - trial_since < TRIAL_TIMEOUT_MS

    def start_trial(self, key: Hashable, now: Instant) -> None:
        """Note that a request was sent to the endpoint, if it is a trial."""
        state = self._ejected.get(key)
        if state is not None:
            state.trial_since = now

    def record(
        self, key: Hashable, is_failure: bool, latency_ms: float, now: Instant
    ) -> None:
        """Take the result of one request.

        The call path leaves out results of cold endpoints, which are slow for a
        known reason, and refusals with 503, which are no failures.
        """
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = _State()
        if state.until is not None:
            self._record_ejected(key, state, is_failure, latency_ms, now)
            return
        if is_failure:
            state.add_failure(latency_ms < 0.5 * self._median(now))
        else:
            state.add_success(latency_ms)
        if self._is_outlier(state, is_failure, now) and self._may_eject():
            self._eject(key, state, now)

    def retain(self, keys: Container[Hashable]) -> None:
        """Forget the endpoints that are not among ``keys``."""
        for key in [key for key in self._states if key not in keys]:
            del self._states[key]
            self._ejected.pop(key, None)

    @property
    def n_ejected(self) -> int:
        """The number of ejected endpoints."""
        return len(self._ejected)

    def _record_ejected(
        self,
        key: Hashable,
        state: _State,
        is_failure: bool,
        latency_ms: float,
        now: Instant,
    ) -> None:
        """Return the endpoint or eject it again; only the trial counts."""
        if state.until is None or now < state.until or state.trial_since is None:
            return
        state.trial_since = None
        median_ms = self._median(now)
        is_slow = median_ms > 0 and latency_ms > SLOW_FACTOR * median_ms + SLOW_MS
        if is_failure or is_slow:
            self._eject(key, state, now)
            return
        state.until = None
        state.returned_at = now
        del self._ejected[key]
        state.reset()
        state.add_success(latency_ms)

    def _is_outlier(self, state: _State, is_failure: bool, now: Instant) -> bool:
        if is_failure:
            return (
                state.n_failures >= N_FAILURES
                or state.n_fast_failures >= N_FAST_FAILURES
                or state.n_results >= MIN_SAMPLES
                and state.failure_share >= FAILURE_SHARE
            )
        if state.n_successes < MIN_SAMPLES:
            return False
        median_ms = self._median(now)
        return median_ms > 0 and state.latency_ms > SLOW_FACTOR * median_ms + SLOW_MS

    def _may_eject(self) -> bool:
        limit = int(self._max_ejected_share * len(self._states))
        return len(self._ejected) < limit

    def _eject(self, key: Hashable, state: _State, now: Instant) -> None:
        if state.returned_at is not None and now - state.returned_at > FORGIVE_MS:
            state.n_ejections = 0
        state.returned_at = None
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2**state.n_ejections)
        state.n_ejections = min(state.n_ejections + 1, 16)
        state.until = Instant(now + duration_ms)
        state.trial_since = None
        self._ejected[key] = state

    def _median(self, now: Instant) -> float:
        """Return the median of the mean latencies, 0 when too few are known."""
        if now - self._median_at >= MEDIAN_INTERVAL_MS:
            self._median_at = now
            means = [
                state.latency_ms
                for state in self._states.values()
                if state.n_successes >= MIN_SAMPLES
            ]
            self._median_ms = median(means) if len(means) >= MIN_PEERS else 0.0
        return self._median_ms
