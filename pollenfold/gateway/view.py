"""What an entry believes: orders, endpoints and the other entries.

Everything comes from the feeds of the control replicas. Orders only ever move to a
higher index, so an entry never goes back to an earlier configuration. An entry that
reaches no control replica goes on with what it knows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..core.allowances import FleetSize
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.digests import bucket_digests
from ..core.orders import Orders
from ..core.registry import (
    Announcement,
    Registry,
    decode_announcement,
    may_get_work,
)
from ..core.routes import RoutingConfiguration
from ..core.selection import EndpointHealth
from ..observe.events import EventLog

SILENT_AFTER_MS = 12_000.0
"""An endpoint that announced itself nowhere for so long is forgotten.

It is several announcement intervals, and longer than an announcement may be late."""

MAX_LEAVING = 4_096
"""How many lives of endpoints that said that they leave are kept in mind."""

Decode = Callable[[str], RoutingConfiguration]

Life = tuple[str, int]
"""The id of an endpoint with its start, in ms since 1970 on its own clock."""


@dataclass(slots=True)
class Endpoint:
    """One endpoint with what this entry saw of it.

    Until ``cold_until`` it bears only little; ``is_unconfirmed`` means that it may be
    cold, which the next report of the endpoint itself decides. Until ``rests_until`` it
    wants neither requests nor questions.
    """

    announcement: Announcement
    health: EndpointHealth = field(default_factory=EndpointHealth)
    cold_until: Instant = Instant(0.0)
    is_unconfirmed: bool = False
    rests_until: Instant = Instant(0.0)

    @property
    def life(self) -> Life:
        """What names this life of the endpoint."""
        return self.announcement.endpoint_id, self.announcement.born_ms

    def is_resting(self, now: Instant) -> bool:
        """Return whether the endpoint asked for no work at this moment."""
        return now < self.rests_until

    def is_cold(self, now: Instant) -> bool:
        """Return whether only the cold limit of requests may go there."""
        return self.is_unconfirmed or now < self.cold_until

    def set_warmup_left(self, left_ms: float, now: Instant) -> None:
        """Take how long the endpoint stays cold; 0 or less means that it is warm."""
        self.cold_until = add_ms(now, left_ms) if left_ms > 0 else Instant(0.0)


class FleetView:
    """The beliefs of one entry, changed by the lines of the feeds."""

    def __init__(self, decode: Decode, clock: Clock, log: EventLog) -> None:
        self._decode = decode
        self._clock = clock
        self._log = log
        self.orders = Orders()
        self.configuration: RoutingConfiguration | None = None
        self.registry = Registry()
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.fleet = FleetSize()
        self.entry_ids: frozenset[str] = frozenset()
        self.control_hosts: frozenset[str] = frozenset()
        self.connected_since: Instant | None = None
        """Since when this entry hears, through its source of news, of all endpoints
        that announce themselves; None while it doesn't."""

        self.n_connected = 0
        self._leaving: dict[Life, None] = {}
        """Lives that said in an answer that they leave, the oldest first. They are kept
        apart from the endpoints, since an endpoint may be forgotten and announced
        again in the same life."""

    # Orders

    def take_orders(self, fields: dict[str, Any], source: str) -> bool:
        """Take a copy of the orders; return whether it was newer."""
        if int(fields["index"]) <= self.orders.index:
            return False
        orders = self.orders.merged(fields)
        before, self.orders = self.orders, orders
        if orders.version > before.version:
            self.configuration = self._decode(orders.document)
            self._log.state(
                "configuration_in_force",
                version=orders.version,
                before=before.version,
                index=orders.index,
                source=source,
            )
        for zone in before.evacuated - orders.evacuated:
            # The endpoints of a zone may have turned cold while it was out.
            self._mark_unconfirmed(zone)
        if before.evacuated != orders.evacuated:
            zones = ",".join(sorted(orders.evacuated)) or "none"
            self._log.state("zones_out", zones=zones, index=orders.index)
        self._rebuild()
        return True

    def _mark_unconfirmed(self, zone: str) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.announcement.zone == zone:
                endpoint.is_unconfirmed = True

    # Endpoints

    def take_announcements(self, items: Iterable[tuple[list[object], float]]) -> None:
        """Take announcements, each with the ms since a control replica received it."""
        is_changed = False
        for fields, age_ms in items:
            is_changed |= self._take_announcement(
                decode_announcement(fields), float(age_ms)
            )
        if is_changed:
            self._rebuild()

    def _take_announcement(self, announcement: Announcement, age_ms: float) -> bool:
        """Take one announcement; return whether it said something new."""
        now = self._clock()
        before = self.registry.get(announcement.endpoint_id)
        if not self.registry.merge(announcement, now):
            self._refresh(announcement, now, age_ms)
            return False
        endpoint_id = announcement.endpoint_id
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or before is None or before.born_ms != announcement.born_ms:
            endpoint = Endpoint(announcement)
        endpoint.announcement = announcement
        self.endpoints[endpoint_id] = endpoint
        self._refresh(announcement, now, age_ms)
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

    def _refresh(self, announcement: Announcement, now: Instant, age_ms: float) -> None:
        """Take the coldness that the newest announcement of an endpoint tells."""
        endpoint = self.endpoints.get(announcement.endpoint_id)
        known = self.registry.get(announcement.endpoint_id)
        if endpoint is None or known is not announcement:
            return
        endpoint.announcement = announcement
        endpoint.set_warmup_left(announcement.warmup_left_ms - age_ms, now)

    def confirm(self, endpoint: Endpoint, warmup_left_ms: float) -> None:
        """Take the coldness that an endpoint told in a health answer just now."""
        endpoint.is_unconfirmed = False
        endpoint.set_warmup_left(warmup_left_ms, self._clock())

    def forget(self, endpoint_id: str, reason: str) -> None:
        """Drop an endpoint whose address answers as another one."""
        if endpoint_id in self.endpoints:
            self.registry.remove(endpoint_id)
            self._log.state("endpoint_forgotten", endpoint=endpoint_id, reason=reason)
            self._rebuild()

    @property
    def n_endpoints(self) -> int:
        """The number of endpoints that are known, those that leave included."""
        return len(self.registry)

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Give no new work to this life of an endpoint, which said that it leaves."""
        if endpoint.life in self._leaving:
            return
        self._leaving[endpoint.life] = None
        while len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        endpoint_id = endpoint.announcement.endpoint_id
        self._log.state("endpoint_leaving", endpoint=endpoint_id, source="answer")
        self._rebuild()

    def mark_resting(self, endpoint: Endpoint, rest_ms: float) -> None:
        """Give an endpoint nothing for a while, which it asked for."""
        now = self._clock()
        if not endpoint.is_resting(now):
            endpoint_id = endpoint.announcement.endpoint_id
            self._log.state("endpoint_rests", endpoint=endpoint_id, rest_ms=rest_ms)
        endpoint.rests_until = max(endpoint.rests_until, add_ms(now, rest_ms))

    @property
    def n_resting(self) -> int:
        """The number of endpoints that asked for no work at this moment."""
        now = self._clock()
        return sum(endpoint.is_resting(now) for endpoint in self.endpoints.values())

    def digests(self) -> list[int]:
        """Return the digests of the endpoints that are known."""
        return bucket_digests(self.registry.announcements())

    def hear(self, endpoint_ids: list[str]) -> None:
        """Note which endpoints announced themselves again."""
        now = self._clock()
        for endpoint_id in endpoint_ids:
            self.registry.hear(endpoint_id, now)

    def expire(self) -> None:
        """Forget silent endpoints, unless this entry itself may be the one cut off."""
        now = self._clock()
        oldest = add_ms(now, -SILENT_AFTER_MS)
        if self.connected_since is None or self.connected_since > oldest:
            return
        silent = self.registry.expire(oldest)
        for endpoint_id in silent:
            self._log.state("endpoint_forgotten", endpoint=endpoint_id, reason="silent")
        if silent:
            self._rebuild()

    def _rebuild(self) -> None:
        """Make the lists of endpoints that may get work."""
        known = {a.endpoint_id for a in self.registry.announcements()}
        self.endpoints = {k: v for k, v in self.endpoints.items() if k in known}
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if self._is_in_work(endpoint):
                service = endpoint.announcement.service
                by_service.setdefault(service, []).append(endpoint)
        self.by_service = by_service

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint said anywhere that it leaves."""
        return endpoint.announcement.is_leaving or endpoint.life in self._leaving

    def _is_in_work(self, endpoint: Endpoint) -> bool:
        is_leaving = self.is_leaving(endpoint)
        return not is_leaving and may_get_work(endpoint.announcement, self.orders)

    def may_get_work(self, endpoint: Endpoint) -> bool:
        """Return whether a new request may go to the endpoint at this moment."""
        current = self.endpoints.get(endpoint.announcement.endpoint_id)
        is_resting = endpoint.is_resting(self._clock())
        return current is endpoint and not is_resting and self._is_in_work(endpoint)

    def rest_left_ms(self, service: str) -> float | None:
        """Return how long all endpoints of a service still rest; None if one doesn't.

        The first of them takes work again then.
        """
        endpoints = self.by_service.get(service, ())
        now = self._clock()
        if not endpoints or not all(e.is_resting(now) for e in endpoints):
            return None
        return remaining_ms(min(e.rests_until for e in endpoints), now)

    # The fleet

    def take_control_hosts(self, control_hosts: list[str]) -> None:
        """Take the hosts of the control replicas from one of these."""
        self.control_hosts = frozenset(control_hosts) or self.control_hosts
