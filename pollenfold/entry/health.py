"""Limits of endpoints from warm-up, outlier ejection, zone state and drain."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.balancing.outliers import OutlierDetector
from ..core.balancing.warmup import (
    Directory,
    WarmChange,
    WarmupController,
    warmup_owner,
)
from ..core.measurement import LoadReport, MeasurementBudget, parse_load_header
from ..core.retries import AttemptOutcome
from ..http.messages import find_header

if TYPE_CHECKING:
    from ..core.clock import Clock, Instant
    from ..core.configuration import ConfigurationView
    from ..core.membership import Endpoint
    from ..core.records import ServiceSpec
    from .attempts import AttemptResult
    from .backends import Backend

LOAD_HEADER = b"pollenfold-load"
NO_ZONE_RECORD = 0

REPORT_INTERVAL_MS = 10.0
"""How old the last load report of a warm endpoint is before the next one is requested.
A younger report still has 87% of its weight."""


class EndpointHealth:
    """Computes the limits of endpoints and updates them from each attempt.

    ``directory`` returns the live entries. ``on_warm_change`` is called when this entry
    detects that an endpoint has turned cold or, as its warm-up owner, warm.
    """

    def __init__(
        self,
        entry_id: str,
        lease_ms: float,
        directory: Callable[[], Directory],
        view: Callable[[], ConfigurationView],
        on_warm_change: Callable[[WarmChange], None],
        clock: Clock,
    ) -> None:
        self._warmup = WarmupController(entry_id, lease_ms)
        self._outliers: dict[str, OutlierDetector] = {}
        self._budgets: dict[str, tuple[ServiceSpec, int, MeasurementBudget]] = {}
        self._directory = directory
        self._view = view
        self._on_warm_change = on_warm_change
        self._clock = clock

    def limit(
        self, spec: ServiceSpec, endpoint: Endpoint, view: ConfigurationView
    ) -> int:
        """Return this entry's current concurrency limit at the endpoint."""
        if not view.is_zone_in_service(endpoint.zone) or endpoint.name in view.drained:
            return 0
        now = self._clock()
        if self._detector(endpoint.service).is_ejected(endpoint.key, now):
            return 0
        return self._warmup.limit(
            endpoint, spec, zone_version(view, endpoint.zone), self._directory(), now
        )

    def warmup_owner(self, endpoint: Endpoint, view: ConfigurationView) -> str | None:
        """Return the entry that may send to a cold endpoint; None if none is needed."""
        if not view.is_zone_in_service(endpoint.zone) or endpoint.name in view.drained:
            return None
        is_current = endpoint.warm.zone_version == zone_version(view, endpoint.zone)
        if endpoint.warm.is_warm and is_current:
            return None
        return warmup_owner(self._directory().entry_ids, endpoint.key)

    def budget(self, spec: ServiceSpec, max_entries: int) -> MeasurementBudget:
        """Return this entry's share of the measurement budget of a service."""
        cached = self._budgets.get(spec.name)
        if cached is not None and cached[0] is spec and cached[1] == max_entries:
            return cached[2]
        budget = MeasurementBudget(spec, max_entries, self._clock())
        self._budgets[spec.name] = (spec, max_entries, budget)
        return budget

    def retain(self, service: str, endpoints: tuple[Endpoint, ...]) -> None:
        """Drop the state of endpoints of a service that are not in ``endpoints``."""
        keys = {endpoint.key for endpoint in endpoints}
        self._warmup.retain(service, keys)
        if service in self._outliers:
            self._outliers[service].retain(keys)

    def start(self, endpoint: Endpoint) -> None:
        """Record that a request is about to be sent to the endpoint."""
        detector = self._detector(endpoint.service)
        if detector.n_ejected:
            detector.start_trial(endpoint.key, self._clock())

    def wants_report(self, spec: ServiceSpec, backend: Backend) -> bool:
        """Return whether the next response should carry a load report.

        The bytes of the report are charged to the service's measurement budget.
        """
        now = self._clock()
        is_warming = backend.candidate.is_warming
        if not is_warming and now - backend.candidate.reported_at < REPORT_INTERVAL_MS:
            return False
        budget = self.budget(spec, self._view().fleet.max_entries)
        return budget.try_request_report(now, is_urgent=is_warming)

    def observe(
        self,
        spec: ServiceSpec,
        backend: Backend,
        result: AttemptResult | None,
        latency_ms: float,
        was_requested: bool = True,
    ) -> LoadReport | None:
        """Record an attempt that ended; ``result`` is None if it was cancelled.

        ``was_requested`` is whether the request asked for a load report. Return the
        load report of the response, if it has a valid one.
        """
        if result is None:
            return None
        now = self._clock()
        endpoint = backend.endpoint
        outcome = result.outcome
        is_early = latency_ms < backend.candidate.ewma_ms
        if outcome is AttemptOutcome.EXPIRED and is_early:
            # The caller's timeout was below the usual latency of the server. Callers
            # with short deadlines must not get servers ejected or marked cold.
            return None
        report = self._read_report(spec, result, was_requested, now)
        if outcome is AttemptOutcome.UNREACHABLE:
            # Doesn't indicate a cold server: a restarted one announces itself again.
            detector = self._detector(endpoint.service)
            detector.record(endpoint.key, True, latency_ms, now)
            return None
        was_shed = outcome is AttemptOutcome.NOT_STARTED
        if was_shed and result.response is None:
            # This entry had no time or connection left; no request was sent.
            return None
        is_failure = outcome is not AttemptOutcome.RESPONDED and not was_shed
        if endpoint.warm.is_warm and not was_shed:
            detector = self._detector(endpoint.service)
            detector.record(endpoint.key, is_failure, latency_ms, now)
        is_success = outcome is AttemptOutcome.RESPONDED
        if backend.candidate.is_warming and is_success and not was_requested:
            # Without a report the server may still be cold, so the ramp is paused.
            return report
        change = self._warmup.record_result(
            endpoint,
            spec,
            latency_ms,
            was_shed or is_failure,
            report is not None and report.is_cold,
            now,
        )
        if change is not None:
            self._on_warm_change(change)
        return report

    def _detector(self, service: str) -> OutlierDetector:
        detector = self._outliers.get(service)
        if detector is None:
            detector = self._outliers[service] = OutlierDetector()
        return detector

    def _read_report(
        self,
        spec: ServiceSpec,
        result: AttemptResult,
        was_requested: bool,
        now: Instant,
    ) -> LoadReport | None:
        """Parse the load report of a response and charge its bytes to the budget."""
        if result.response is None:
            return None
        value = find_header(result.response.headers, LOAD_HEADER)
        if value is None:
            return None
        budget = self.budget(spec, self._view().fleet.max_entries)
        budget.count_report(len(LOAD_HEADER) + len(value) + 4, was_requested, now)
        return parse_load_header(value, now)


def zone_version(view: ConfigurationView, zone: str) -> int:
    """Return the version of a zone's record; it increases when the zone returns."""
    spec = view.zones.get(zone)
    return NO_ZONE_RECORD if spec is None else spec.version
