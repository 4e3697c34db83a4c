"""An entry's view of the replicated state, the endpoints and the other entries.

All of it comes from the feeds of the control replicas. The replicated state only moves
to a higher index, so an entry never reverts to an earlier configuration. An entry that
reaches no control replica continues with its last view.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..core.allowances import FleetSize
from ..core.clock import Clock, Instant, add_ms
from ..core.declared_limit import DeclaredLimit
from ..core.digests import bucket_digests
from ..core.limit_report import (
    LimitReport,
    SeenReport,
    decode_limit_report,
    seen_report,
)
from ..core.registry import (
    Announcement,
    Registry,
    accepts_new_requests,
    decode_announcement,
)
from ..core.replicated_state import ReplicatedState
from ..core.routes import RoutingConfiguration
from ..core.selection import EndpointHealth
from ..observe.events import EventLog

ENDPOINT_EXPIRY_MS = 12_000.0
"""An endpoint without announcements for this long is removed.

It is several announcement intervals, and longer than an announcement may be delayed."""

MAX_LEAVING_INCARNATIONS = 4_096
"""How many incarnations of endpoints that announced that they are leaving are kept."""

LIMIT_LOG_INTERVAL_MS = 1_000.0
"""The minimum time between two log lines on changes of one endpoint's limit."""

MAX_LIMIT_REPORTS = 4_096
MAX_LOGGED_VALUE_BYTES = 40

Decode = Callable[[str], RoutingConfiguration]

Incarnation = tuple[str, int]
"""The id of an endpoint and its start time, in ms since 1970 on its own clock."""


@dataclass(slots=True)
class Endpoint:
    """One endpoint with what this entry observed of it.

    Until ``cold_until`` only the cold limit of requests may be sent to it;
    ``is_unconfirmed`` means that it may be cold, which its own next report decides.
    Until ``backoff_until`` it must receive neither requests nor probes.
    ``declared_limit`` is the limit that it declares in its responses, if any.
    """

    announcement: Announcement
    health: EndpointHealth = field(default_factory=EndpointHealth)
    cold_until: Instant = Instant(0.0)
    is_unconfirmed: bool = False
    backoff_until: Instant = Instant(0.0)
    declared_limit: DeclaredLimit | None = None
    unlimited_at: Instant = Instant(0.0)
    """When a success last showed that it declares no limit."""

    has_malformed_limit: bool = False
    """Whether the last limit that it declared was malformed."""

    @property
    def incarnation(self) -> Incarnation:
        """What identifies this incarnation of the endpoint."""
        return self.announcement.endpoint_id, self.announcement.born_ms

    def is_backing_off(self, now: Instant) -> bool:
        """Return whether the endpoint asked for a back-off that has not ended."""
        return now < self.backoff_until

    def is_cold(self, now: Instant) -> bool:
        """Return whether only the cold limit of requests may be sent to it."""
        return self.is_unconfirmed or now < self.cold_until

    def set_warmup_left(self, left_ms: float, now: Instant) -> None:
        """Set how long the endpoint stays cold; 0 or less means that it is warm."""
        self.cold_until = add_ms(now, left_ms) if left_ms > 0 else Instant(0.0)


class FleetView:
    """The view of one entry, updated by the lines of the feeds."""

    def __init__(
        self,
        decode: Decode,
        clock: Clock,
        log: EventLog,
        rng: random.Random | None = None,
    ) -> None:
        self._decode = decode
        self._clock = clock
        self._log = log
        self._rng = rng or random.Random()
        self.replicated_state = ReplicatedState()
        self.configuration: RoutingConfiguration | None = None
        self.registry = Registry()
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.fleet = FleetSize()
        self.entry_ids: frozenset[str] = frozenset()
        self.control_hosts: frozenset[str] = frozenset()
        self.connected_since: Instant | None = None
        """Since when this entry receives, through its update source, the announcements
        of all endpoints; None while it doesn't."""

        self.n_connected = 0
        self._limit_reports: dict[str, SeenReport] = {}
        """The newest report on each endpoint, of this or another entry; kept apart from
        the endpoints, which may be announced later."""

        self._unsent_limit_reports: set[str] = set()
        self._leaving: dict[Incarnation, None] = {}
        """Incarnations that announced in a response that they are leaving, oldest
        first. They are kept apart from the endpoints, since an endpoint may be removed
        and announced again in the same incarnation."""

    # Replicated state

    def apply_replicated_state(self, fields: dict[str, Any], source: str) -> bool:
        """Apply a copy of the replicated state; return whether it was newer."""
        if int(fields["index"]) <= self.replicated_state.index:
            return False
        replicated_state = self.replicated_state.merged(fields)
        previous, self.replicated_state = self.replicated_state, replicated_state
        if replicated_state.version > previous.version:
            self.configuration = self._decode(replicated_state.document)
            self._log.state(
                "configuration_in_force",
                version=replicated_state.version,
                before=previous.version,
                index=replicated_state.index,
                source=source,
            )
        for zone in previous.evacuated - replicated_state.evacuated:
            # The endpoints of a zone may have become cold while it was evacuated.
            self._mark_unconfirmed(zone)
        if previous.evacuated != replicated_state.evacuated:
            zones = ",".join(sorted(replicated_state.evacuated)) or "none"
            self._log.state("zones_out", zones=zones, index=replicated_state.index)
        self._rebuild()
        return True

    def _mark_unconfirmed(self, zone: str) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.announcement.zone == zone:
                endpoint.is_unconfirmed = True

    # Endpoints

    def apply_announcements(self, items: Iterable[tuple[list[object], float]]) -> None:
        """Apply announcements, each with the ms since a control replica received it."""
        is_changed = False
        for fields, age_ms in items:
            is_changed |= self._apply_announcement(
                decode_announcement(fields), float(age_ms)
            )
        if is_changed:
            self._rebuild()

    def _apply_announcement(self, announcement: Announcement, age_ms: float) -> bool:
        """Apply one announcement; return whether it was new."""
        now = self._clock()
        previous = self.registry.get(announcement.endpoint_id)
        if not self.registry.merge(announcement, now):
            self._update_warmup(announcement, now, age_ms)
            return False
        endpoint_id = announcement.endpoint_id
        endpoint = self.endpoints.get(endpoint_id)
        if (
            endpoint is None
            or previous is None
            or previous.born_ms != announcement.born_ms
        ):
            endpoint = Endpoint(announcement)
            self._apply_limit_report(endpoint)
        endpoint.announcement = announcement
        self.endpoints[endpoint_id] = endpoint
        self._update_warmup(announcement, now, age_ms)
        self._log.state(
            "endpoint_announced",
            endpoint=endpoint_id,
            address=f"{announcement.host}:{announcement.port}",
            service=announcement.service,
            leaving=announcement.is_leaving,
            warmup_left_ms=announcement.warmup_left_ms,
            sequence=announcement.sequence,
        )
        return True

    def _update_warmup(
        self, announcement: Announcement, now: Instant, age_ms: float
    ) -> None:
        """Apply the warm-up time of an announcement if it is the endpoint's newest."""
        endpoint = self.endpoints.get(announcement.endpoint_id)
        known = self.registry.get(announcement.endpoint_id)
        if endpoint is None or known is not announcement:
            return
        endpoint.announcement = announcement
        endpoint.set_warmup_left(announcement.warmup_left_ms - age_ms, now)

    def confirm_warmup(self, endpoint: Endpoint, warmup_left_ms: float) -> None:
        """Apply the remaining warm-up time that a health response just reported."""
        endpoint.is_unconfirmed = False
        endpoint.set_warmup_left(warmup_left_ms, self._clock())

    def forget(self, endpoint_id: str, reason: str) -> None:
        """Remove an endpoint whose address now belongs to another one."""
        if endpoint_id in self.endpoints:
            self.registry.remove(endpoint_id)
            self._log.state("endpoint_forgotten", endpoint=endpoint_id, reason=reason)
            self._rebuild()

    @property
    def n_endpoints(self) -> int:
        """The number of known endpoints, including those that are leaving."""
        return len(self.registry)

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Stop new requests to an incarnation that announced that it is leaving."""
        if endpoint.incarnation in self._leaving:
            return
        self._leaving[endpoint.incarnation] = None
        while len(self._leaving) > MAX_LEAVING_INCARNATIONS:
            del self._leaving[next(iter(self._leaving))]
        endpoint_id = endpoint.announcement.endpoint_id
        self._log.state("endpoint_leaving", endpoint=endpoint_id, source="answer")
        self._rebuild()

    def start_backoff(self, endpoint: Endpoint, backoff_ms: float) -> None:
        """Send nothing to an endpoint for the time that it asked for."""
        now = self._clock()
        if not endpoint.is_backing_off(now):
            endpoint_id = endpoint.announcement.endpoint_id
            self._log.state("endpoint_rests", endpoint=endpoint_id, rest_ms=backoff_ms)
        endpoint.backoff_until = max(endpoint.backoff_until, add_ms(now, backoff_ms))

    def set_declared_limit(
        self, endpoint: Endpoint, limit_per_s: float, asked_at: Instant
    ) -> None:
        """Apply the limit that an endpoint declared in a response.

        ``asked_at`` is when the request was sent. A response to an earlier request than
        the newest one may lower a limit, but it neither raises nor ends it.
        """
        endpoint.has_malformed_limit = False
        limit = endpoint.declared_limit
        if limit is None:
            limit = self._start_limit(endpoint, limit_per_s, "answer")
            limit.asked_at = asked_at
            self._queue_limit_report(endpoint, limit_per_s)
            return
        if limit_per_s > limit.rate_per_s and asked_at < limit.asked_at:
            return
        limit.asked_at = max(limit.asked_at, asked_at)
        self._change_limit(endpoint, limit, limit_per_s, "answer")
        self._queue_limit_report(endpoint, limit_per_s)

    def _start_limit(
        self, endpoint: Endpoint, limit_per_s: float, source: str
    ) -> DeclaredLimit:
        limit = DeclaredLimit(limit_per_s, self._clock(), self._rng.random())
        endpoint.declared_limit = limit
        self._log_limit(endpoint, limit, "none", source)
        return limit

    def _change_limit(
        self, endpoint: Endpoint, limit: DeclaredLimit, limit_per_s: float, source: str
    ) -> None:
        now = self._clock()
        before = limit.set_rate(limit_per_s, now)
        is_log_due = now >= add_ms(limit.logged_at, LIMIT_LOG_INTERVAL_MS)
        if limit_per_s != before and is_log_due:
            self._log_limit(endpoint, limit, before, source)
            limit.logged_at = now

    def _log_limit(
        self, endpoint: Endpoint, limit: DeclaredLimit, before: object, source: str
    ) -> None:
        self._log.state(
            "endpoint_limited",
            endpoint=endpoint.announcement.endpoint_id,
            limit_per_s=limit.rate_per_s,
            before=before,
            source=source,
        )

    def end_declared_limit(self, endpoint: Endpoint, asked_at: Instant) -> None:
        """Remove the limit of an endpoint that no longer declares one."""
        endpoint.unlimited_at = self._clock()
        limit = endpoint.declared_limit
        if limit is None or asked_at < limit.asked_at:
            return
        self._end_limit(endpoint, limit, "answer")
        self._queue_limit_report(endpoint, None)

    def _end_limit(self, endpoint: Endpoint, limit: DeclaredLimit, source: str) -> None:
        endpoint.declared_limit = None
        self._log.state(
            "endpoint_limit_ended",
            endpoint=endpoint.announcement.endpoint_id,
            limit_per_s=limit.rate_per_s,
            source=source,
        )

    # Reports of entries on declared limits

    def _queue_limit_report(self, endpoint: Endpoint, rate_per_s: float | None) -> None:
        """Queue a report on an endpoint's limit, unless the others know it already."""
        endpoint_id, born_ms = endpoint.incarnation
        known = self._limit_reports.get(endpoint_id)
        report = LimitReport(endpoint_id, born_ms, rate_per_s, 0.0)
        if known is not None and known.report.is_similar(report):
            return
        self._keep_limit_report(SeenReport(report, self._clock()))
        self._unsent_limit_reports.add(endpoint_id)

    def _keep_limit_report(self, seen: SeenReport) -> None:
        endpoint_id = seen.report.endpoint_id
        self._limit_reports.pop(endpoint_id, None)
        self._limit_reports[endpoint_id] = seen
        while len(self._limit_reports) > MAX_LIMIT_REPORTS:
            del self._limit_reports[next(iter(self._limit_reports))]

    def take_limit_reports(self) -> list[list[object]]:
        """Return the reports to send to a control replica, and forget them."""
        endpoint_ids, self._unsent_limit_reports = self._unsent_limit_reports, set()
        now = self._clock()
        return [
            self._limit_reports[k].aged_report(now).encode()
            for k in endpoint_ids
            if k in self._limit_reports
        ]

    def apply_limit_reports(self, items: Iterable[object]) -> None:
        """Apply what other entries saw, as far as it is newer than what this one saw.

        Raise ValueError if an item is malformed.
        """
        now = self._clock()
        for fields in items:
            seen = seen_report(decode_limit_report(fields), now)
            endpoint_id = seen.report.endpoint_id
            known = self._limit_reports.get(endpoint_id)
            if known is not None and known.seen_at >= seen.seen_at:
                continue
            self._keep_limit_report(seen)
            self._unsent_limit_reports.discard(endpoint_id)
            endpoint = self.endpoints.get(endpoint_id)
            if endpoint is not None:
                self._apply_limit_report(endpoint)

    def _apply_limit_report(self, endpoint: Endpoint) -> None:
        endpoint_id, born_ms = endpoint.incarnation
        seen = self._limit_reports.get(endpoint_id)
        if seen is None or seen.report.born_ms != born_ms:
            return
        limit, rate_per_s = endpoint.declared_limit, seen.report.rate_per_s
        own_seen_at = endpoint.unlimited_at if limit is None else limit.seen_at
        if seen.seen_at <= own_seen_at:
            return
        if limit is None:
            if rate_per_s is not None:
                self._start_limit(endpoint, rate_per_s, "report")
        elif rate_per_s is None:
            self._end_limit(endpoint, limit, "report")
        else:
            self._change_limit(endpoint, limit, rate_per_s, "report")

    def reject_declared_limit(self, endpoint: Endpoint, value: bytes) -> None:
        """Log a malformed limit, once until the endpoint declares a valid one."""
        if endpoint.has_malformed_limit:
            return
        endpoint.has_malformed_limit = True
        self._log.state(
            "malformed_limit",
            endpoint=endpoint.announcement.endpoint_id,
            value=value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1"),
        )

    @property
    def n_limited(self) -> int:
        """The number of endpoints that declare a limit."""
        return sum(e.declared_limit is not None for e in self.endpoints.values())

    @property
    def n_backing_off(self) -> int:
        """The number of endpoints that are backing off at this moment."""
        now = self._clock()
        return sum(endpoint.is_backing_off(now) for endpoint in self.endpoints.values())

    def digests(self) -> list[int]:
        """Return the digests of the known endpoints."""
        return bucket_digests(self.registry.announcements())

    def renew_endpoints(self, endpoint_ids: list[str]) -> None:
        """Record that these endpoints repeated their announcements."""
        now = self._clock()
        for endpoint_id in endpoint_ids:
            self.registry.renew(endpoint_id, now)

    def expire(self) -> None:
        """Remove unresponsive endpoints, unless this entry itself may be isolated."""
        now = self._clock()
        oldest = add_ms(now, -ENDPOINT_EXPIRY_MS)
        if self.connected_since is None or self.connected_since > oldest:
            return
        expired_ids = self.registry.expire(oldest)
        for endpoint_id in expired_ids:
            self._log.state("endpoint_forgotten", endpoint=endpoint_id, reason="silent")
        if expired_ids:
            self._rebuild()

    def _rebuild(self) -> None:
        """Rebuild the lists of endpoints that may receive requests."""
        known = {a.endpoint_id for a in self.registry.announcements()}
        self.endpoints = {k: v for k, v in self.endpoints.items() if k in known}
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if self._is_eligible(endpoint):
                service = endpoint.announcement.service
                by_service.setdefault(service, []).append(endpoint)
        self.by_service = by_service

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an announcement or a response reported that it is leaving."""
        return endpoint.announcement.is_leaving or endpoint.incarnation in self._leaving

    def _is_eligible(self, endpoint: Endpoint) -> bool:
        is_leaving = self.is_leaving(endpoint)
        return not is_leaving and accepts_new_requests(
            endpoint.announcement, self.replicated_state
        )

    def accepts_new_requests(self, endpoint: Endpoint) -> bool:
        """Return whether a new request may be sent to the endpoint at this moment."""
        current = self.endpoints.get(endpoint.announcement.endpoint_id)
        is_backing_off = endpoint.is_backing_off(self._clock())
        return (
            current is endpoint and not is_backing_off and self._is_eligible(endpoint)
        )

    def has_limited(self, service: str) -> bool:
        """Return whether an endpoint of a service declares a limit."""
        endpoints = self.by_service.get(service, ())
        return any(endpoint.declared_limit is not None for endpoint in endpoints)

    # The fleet

    def set_control_hosts(self, control_hosts: list[str]) -> None:
        """Set the hosts of the control replicas, as reported by one of them."""
        self.control_hosts = frozenset(control_hosts) or self.control_hosts
