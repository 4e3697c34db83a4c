"""Which endpoints of a service fail nearly all requests that the others don't fail.

The load pattern: a few endpoints respond to every request at once, with a failure,
while their health checks pass. They look idle and fast, so they would get more requests
than the others, for as long as it goes on.

Failures count against what is usual in the service. Where all endpoints fail a part of
their requests, for example because of what callers send, none is an outlier.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import Enum
from math import log
from statistics import median_low

from .clock import Instant, add_ms

FAILING_SHARE = 0.98
"""The failure share of an endpoint that fails all but a few of its requests."""

MIN_USUAL_SHARE = 0.2
"""Results are compared with this share where fewer requests fail usually, so that an
endpoint which fails a part of its requests isn't excluded after a few of them."""

MAX_USUAL_SHARE = 0.9
"""Where the usual failure share is higher, no endpoint is an outlier."""

EXCLUSION_EVIDENCE = log(1e6)
"""An endpoint is excluded when the logarithm of the likelihood ratio of its results,
between failing nearly all requests and failing as usual, reaches this. Nine failures in
succession are enough where the others hardly fail."""

REINSTATED_EVIDENCE = EXCLUSION_EVIDENCE / 2
"""The evidence that remains after a successful trial, which may be luck."""

MIN_RESULTS = 3
"""Endpoints with fewer results don't count towards the usual failure share."""

SHARE_WEIGHT = 0.05
MEDIAN_INTERVAL_MS = 100.0

MAX_EXCLUDED_SHARE = 0.5
"""The share of a service's endpoints that is excluded at most."""

EXCLUSION_MS = 1_000.0
MAX_EXCLUSION_MS = 8_000.0
"""The first exclusion lasts ``EXCLUSION_MS``, and each further one twice as long."""

EXCLUSION_RESET_MS = 30_000.0
"""After this long without an exclusion the next one is short again."""

TRIAL_TIMEOUT_MS = 5_000.0
"""A trial without a result for this long is followed by another one."""


class Change(Enum):
    """How the result of a request changed the use of an endpoint."""

    EXCLUDED = "excluded"
    REINSTATED = "reinstated"


@dataclass(slots=True)
class _Results:
    """The results of one endpoint; ``trial_at`` is set while it is excluded."""

    failure_share: float = 0.0
    n_results: int = 0
    evidence: float = 0.0
    n_exclusions: int = 0
    excluded_at: Instant = Instant(0.0)
    trial_at: Instant | None = None
    trial_started_at: Instant | None = None

    def add(self, is_failure: bool, usual_share: float) -> None:
        """Update the failure share and the evidence with one result."""
        self._add_share(is_failure)
        if usual_share > MAX_USUAL_SHARE:
            self.evidence = 0.0
        elif is_failure:
            self.evidence += log(FAILING_SHARE / usual_share)
        else:
            success = log((1 - FAILING_SHARE) / (1 - usual_share))
            self.evidence = max(0.0, self.evidence + success)

    def _add_share(self, is_failure: bool) -> None:
        self.n_results += 1
        weight = max(SHARE_WEIGHT, 1 / self.n_results)
        self.failure_share += weight * (float(is_failure) - self.failure_share)

    def is_excluded(self, now: Instant) -> bool:
        """Return whether no request may be sent, not even a trial."""
        if self.trial_at is None:
            return False
        if now < self.trial_at:
            return True
        started_at = self.trial_started_at
        return started_at is not None and now - started_at < TRIAL_TIMEOUT_MS

    def exclude(self, now: Instant) -> None:
        """Allow no request until the next trial, which comes later each time."""
        if now - self.excluded_at > EXCLUSION_RESET_MS:
            self.n_exclusions = 0
        duration_ms = min(MAX_EXCLUSION_MS, EXCLUSION_MS * 2**self.n_exclusions)
        self.n_exclusions += 1
        self.excluded_at = now
        self.trial_at = add_ms(now, duration_ms)
        self.trial_started_at = None

    def reinstate(self) -> None:
        """Allow requests again after a successful trial."""
        self.trial_at = self.trial_started_at = None
        self.evidence = REINSTATED_EVIDENCE


class FailureOutliers:
    """Decides for the endpoints of one service which ones get no requests for a while.

    For example, an endpoint fails nine requests in succession while the others succeed.
    ``excluded`` names it for a second. Then one request at a time may be sent as a
    trial, after ``begin_trial`` returned True; its result is recorded with
    ``is_trial``, and excludes the endpoint for longer or reinstates it.
    """

    def __init__(self) -> None:
        self._results: dict[Hashable, _Results] = {}
        self._excluded_keys: set[Hashable] = set()
        self._usual_share = 1.0
        self._usual_share_at = Instant(float("-inf"))

    @property
    def has_excluded(self) -> bool:
        """Whether an endpoint is excluded, or waits for its trial."""
        return bool(self._excluded_keys)

    def excluded(self, keys: Sequence[Hashable], now: Instant) -> frozenset[Hashable]:
        """Return which of the endpoints get no request, at most half of them.

        None is excluded once it shows that nearly all requests of the service fail.
        """
        if self._usual(now) > MAX_USUAL_SHARE:
            return frozenset()
        found = [
            key
            for key in keys
            if key in self._excluded_keys and self._results[key].is_excluded(now)
        ]
        found.sort(key=lambda key: self._results[key].excluded_at)
        return frozenset(found[: int(MAX_EXCLUDED_SHARE * len(keys))])

    def needs_trial(self, key: Hashable) -> bool:
        """Return whether the next request to the endpoint would be a trial."""
        return key in self._excluded_keys

    def begin_trial(self, key: Hashable, now: Instant) -> bool:
        """Start a trial of an excluded endpoint, if one is due; return whether."""
        if key not in self._excluded_keys or self._results[key].is_excluded(now):
            return False
        self._results[key].trial_started_at = now
        return True

    def end_trial(self, key: Hashable) -> None:
        """End a trial that showed nothing, so that another one may follow."""
        results = self._results.get(key)
        if results is not None:
            results.trial_started_at = None

    def record(
        self, key: Hashable, is_failure: bool, is_trial: bool, now: Instant
    ) -> Change | None:
        """Record the result of a request; return how it changed the endpoint's use.

        A refusal of a request that wasn't executed is no result: an endpoint that sheds
        load doesn't fail.
        """
        results = self._results.setdefault(key, _Results())
        results.add(is_failure, self._usual(now))
        if results.trial_at is not None:
            if not is_trial:
                # Sent before the exclusion, or since half are excluded already.
                return None
            return self._record_trial(key, is_failure, now)
        if not is_failure or results.evidence < EXCLUSION_EVIDENCE:
            return None
        results.exclude(now)
        self._excluded_keys.add(key)
        return Change.EXCLUDED

    def retain(self, keys: set[Hashable]) -> None:
        """Forget the endpoints that aren't among ``keys``."""
        self._results = {k: r for k, r in self._results.items() if k in keys}
        self._excluded_keys &= keys

    def _record_trial(self, key: Hashable, is_failure: bool, now: Instant) -> Change:
        if is_failure:
            self._results[key].exclude(now)
            return Change.EXCLUDED
        self._results[key].reinstate()
        self._excluded_keys.discard(key)
        return Change.REINSTATED

    def _usual(self, now: Instant) -> float:
        """Return the usual failure share of the service, at the lower median."""
        if now - self._usual_share_at >= MEDIAN_INTERVAL_MS:
            self._usual_share_at = now
            shares = [
                results.failure_share
                for results in self._results.values()
                if results.n_results >= MIN_RESULTS
            ]
            self._usual_share = max(MIN_USUAL_SHARE, self._median(shares))
        return self._usual_share

    def _median(self, shares: list[float]) -> float:
        """Return the lower median of known shares, or a guess where too few are known.

        An endpoint that fails at once has many results before the others have any, so
        they are taken for well as soon as one of them has responded.
        """
        if len(shares) > 1:
            return median_low(shares)
        return 0.0 if len(self._results) > 1 else 1.0
