"""What this entry may send to each endpoint now: warm-up, ejection, zone, drain."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..core.measurement import parse_load_header
from ..core.outliers import OutlierDetector
from ..core.retries import AttemptOutcome
from ..core.warming import Directory, WarmChange, WarmupController
from ..http.messages import find_header

if TYPE_CHECKING:
    from ..core.clock import Clock
    from ..core.configuration import ConfigurationView
    from ..core.membership import Endpoint
    from ..core.records import ServiceSpec
    from .attempts import AttemptResult
    from .backends import Backend

LOAD_HEADER = b"pollenfold-load"
NO_ZONE_RECORD = 0


class EndpointHealth:
    """Limits of endpoints, and what is learned from each attempt.

    ``directory`` returns the live entries. ``on_warm_change`` is told when this entry
    sees an endpoint turn cold or, as its warm-up owner, warm.
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
        self._outliers = OutlierDetector()
        self._directory = directory
        self._view = view
        self._on_warm_change = on_warm_change
        self._clock = clock

    def limit(
        self, spec: ServiceSpec, endpoint: Endpoint, view: ConfigurationView
    ) -> int:
        """Return the concurrency that this entry may have at the endpoint now."""
        if not view.is_zone_in(endpoint.zone) or endpoint.name in view.drained:
            return 0
        now = self._clock()
        if self._outliers.is_ejected(endpoint.key, now):
            return 0
        return self._warmup.limit(
            endpoint, spec, zone_version(view, endpoint.zone), self._directory(), now
        )

    def observe(
        self,
        spec: ServiceSpec,
        backend: Backend,
        result: AttemptResult | None,
        latency_ms: float,
    ) -> None:
        """Learn from an attempt that ended; ``result`` is None for a cancelled one."""
        if result is None:
            return
        now = self._clock()
        endpoint = backend.endpoint
        is_failure = result.outcome not in (
            AttemptOutcome.RESPONDED,
            AttemptOutcome.NOT_STARTED,
        )
        was_shed = result.outcome is AttemptOutcome.NOT_STARTED
        self._outliers.record(endpoint.key, is_failure, latency_ms, now)
        change = self._warmup.record(
            endpoint, spec, latency_ms, was_shed, _reports_cold(result), now
        )
        if change is not None:
            self._on_warm_change(change)


def zone_version(view: ConfigurationView, zone: str) -> int:
    """Return the version of a zone's record, which rises when the zone returns."""
    spec = view.zones.get(zone)
    return NO_ZONE_RECORD if spec is None else spec.version


def _reports_cold(result: AttemptResult) -> bool:
    if result.response is None:
        return False
    value = find_header(result.response.headers, LOAD_HEADER)
    report = None if value is None else parse_load_header(value)
    return report is not None and report.is_cold
