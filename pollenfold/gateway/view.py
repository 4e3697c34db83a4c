"""An entry's view of the replicated state, the endpoints and the other entries.

All of it comes from the feeds of the control replicas. The replicated state only moves
to a higher index, so an entry never reverts to an earlier configuration. An entry that
reaches no control replica continues with its last view.
"""

from __future__ import annotations

import random
from typing import Any

from ..core.allowances import FleetSize
from ..core.clock import Clock, Instant, add_ms
from ..core.confirmation import Confirmations
from ..core.digests import bucket_digests
from ..core.registry import (
    Announcement,
    Registry,
    accepts_new_requests,
    decode_aged_announcement,
)
from ..core.replicated_state import ReplicatedState
from ..core.routes import RoutingConfiguration
from ..observe.events import EventLog
from ..observe.malformed import MalformedItems
from .endpoint import Endpoint, Incarnation
from .limits.declared_limits import DeclaredLimits
from .peers import Peer, PeerDirectory
from .quarantine import RequestQuarantine
from .rollouts.new_versions import NewVersions
from .rollouts.version_load import VersionKey, VersionLoads
from .state_loader import Decode, StateLoader

ENDPOINT_EXPIRY_MS = 12_000.0
"""An endpoint without announcements for this long is removed.

It is several announcement intervals, and longer than an announcement may be delayed."""

MAX_LEAVING_INCARNATIONS = 4_096
"""How many incarnations of endpoints that announced that they are leaving are kept."""


class FleetView:
    """The view of one entry, updated by the lines of the feeds."""

    def __init__(
        self,
        decode: Decode,
        clock: Clock,
        log: EventLog,
        rng: random.Random | None = None,
        confirmations: Confirmations | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self.malformed = MalformedItems(clock, log)
        self._loader = StateLoader(
            decode, lambda: self.replicated_state, self._put_in_force, clock, log
        )
        self.limits = DeclaredLimits(clock, log, rng or random.Random(), self.malformed)
        self.quarantine = RequestQuarantine(clock, log, self.malformed)
        self.replicated_state = ReplicatedState()
        self.configuration: RoutingConfiguration | None = None
        self.registry = Registry()
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.version_loads = VersionLoads()
        self._new_versions = NewVersions(clock)
        self.fleet = FleetSize()
        self.entry_ids: frozenset[str] = frozenset()
        self.peer_directory = PeerDirectory(clock)
        self.control_hosts: frozenset[str] = frozenset()
        self.connected_since: Instant | None = None
        """Since when this entry receives, through its update source, the announcements
        of all endpoints; None while it doesn't."""

        self.n_connected = 0
        self.announced_index = 0
        """The highest index of the replicated state that any replica announced."""

        self.confirmations = confirmations or Confirmations()
        self._leaving: dict[Incarnation, None] = {}
        """Incarnations that announced in a response that they are leaving, oldest
        first. They are kept apart from the endpoints, since an endpoint may be removed
        and announced again in the same incarnation."""

    # Replicated state

    @property
    def received_state(self) -> ReplicatedState:
        """The newest state received; its configuration may not be in force yet."""
        return self._loader.received

    def apply_replicated_state(self, fields: dict[str, Any], source: str) -> bool:
        """Apply a copy of the replicated state; return whether it was newer.

        It is in force on return unless its document is large (``state_loader.py``).
        """
        received = self.received_state
        if int(fields["index"]) <= received.index:
            return False
        state = received.merged(
            fields, lambda detail: self.malformed.record("orders", detail)
        )
        self._loader.receive(state, source)
        return True

    async def finish_loading(self) -> None:
        """Start the task that puts a large document in force, if there is one."""
        await self._loader.start()

    def _put_in_force(
        self,
        replicated_state: ReplicatedState,
        configuration: RoutingConfiguration | None,
        source: str,
    ) -> None:
        previous, self.replicated_state = self.replicated_state, replicated_state
        if configuration is not None:
            self.configuration = configuration
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

    def is_state_current(self) -> bool:
        """Return whether the replicated state in force was the newest until lately.

        A majority of the replicas must have confirmed it within the validity of a
        confirmation, and no replica may have announced a newer one. Only then may a
        caller be told that a route doesn't exist.
        """
        index = self.replicated_state.index
        if index < self.announced_index:
            return False
        return self.confirmations.is_current(index, self._clock())

    def _is_confirmed_since(self, instant: Instant) -> bool:
        index = self.replicated_state.index
        is_newest = index >= self.announced_index
        return is_newest and self.confirmations.is_confirmed_since(index, instant)

    def _mark_unconfirmed(self, zone: str) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.announcement.zone == zone:
                endpoint.is_unconfirmed = True

    # Endpoints

    def apply_announcements(self, items: object, versions: object = None) -> None:
        """Apply announcements, each with the ms since a control replica received it.

        ``versions`` are those of the endpoints, by id. Malformed announcements are
        skipped and counted.
        """
        is_changed = False
        for announcement, age_ms in self.malformed.decode_each(
            "announcements",
            items,
            lambda item: decode_aged_announcement(item, versions),
        ):
            is_changed |= self._apply_announcement(announcement, age_ms)
        if is_changed:
            self._rebuild()

    def _apply_announcement(self, announcement: Announcement, age_ms: float) -> bool:
        """Apply one announcement; return whether it was new."""
        now = self._clock()
        endpoint_id = announcement.endpoint_id
        previous = self.registry.get(endpoint_id)
        is_update = self.registry.merge(announcement, now)
        # The registry adds the version if the announcement lacks it.
        known = self.registry.get(endpoint_id)
        if known is None or known is previous:
            return False
        announcement = known
        if not is_update:
            self._update_warmup(announcement, now, age_ms)
            return False
        endpoint = self.endpoints.get(endpoint_id)
        if (
            endpoint is None
            or previous is None
            or previous.born_ms != announcement.born_ms
            or previous.version != announcement.version
        ):
            load = self.version_loads.get(announcement.service, announcement.version)
            endpoint = Endpoint(announcement, version_load=load)
            self.limits.apply_known_report(endpoint)
        endpoint.announcement = announcement
        self.endpoints[endpoint_id] = endpoint
        self._update_warmup(announcement, now, age_ms)
        self._log.state(
            "endpoint_announced",
            endpoint=endpoint_id,
            address=announcement.address,
            service=announcement.service,
            version=announcement.version or "none",
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

    def apply_limit_reports(self, items: object) -> None:
        """Apply what other entries saw of the endpoints' limits."""
        self.limits.apply_reports(items, self.endpoints)

    def apply_quarantine_reports(self, items: object) -> None:
        """Apply what other entries know of requests that end servers."""
        self.quarantine.merge_reports(items)

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
        """Remove unresponsive endpoints, unless this entry itself may be isolated.

        Requests whose time in quarantine is over are released. Endpoints that were held
        back are used once the state is confirmed.
        """
        self.quarantine.expire()
        self.peer_directory.expire()
        if self._new_versions.is_holding:
            self._rebuild()
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
        versions: set[VersionKey] = set()
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            service = endpoint.announcement.service
            versions.add((service, endpoint.announcement.version))
            if self._is_eligible(endpoint):
                by_service.setdefault(service, []).append(endpoint)
        self.version_loads.retain(versions)
        self.by_service = self._new_versions.usable(
            by_service,
            versions,
            self.replicated_state.rollouts,
            self._is_confirmed_since,
        )

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

    @property
    def peers(self) -> dict[str, Peer]:
        """The other entries that take requests from this one, by entry id."""
        return self.peer_directory.by_id

    def set_control_hosts(self, control_hosts: list[str]) -> None:
        """Set the hosts of the control replicas, as reported by one of them."""
        self.control_hosts = frozenset(control_hosts) or self.control_hosts
