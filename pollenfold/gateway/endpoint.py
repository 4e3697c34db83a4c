"""One endpoint as an entry knows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..core.balancing.selection import EndpointHealth
from ..core.clock import Instant, add_ms
from ..core.declared_limit import DeclaredLimit
from ..core.registry import Announcement
from .rollouts.version_load import VersionLoad

Incarnation = tuple[str, int]
"""The id of an endpoint and its start time, in ms since 1970 on its own clock."""


@dataclass(slots=True)
class Endpoint:
    """One endpoint with what this entry observed of it.

    Until ``cold_until`` only the cold limit of requests may be sent to it;
    ``is_unconfirmed`` means that it may be cold, which its own next report decides.
    Until ``backoff_until`` it must receive neither requests nor probes.
    ``declared_limit`` is the limit that it declares in its responses, if any.
    ``version_load`` is shared by the endpoints of its version.
    """

    announcement: Announcement
    health: EndpointHealth = field(default_factory=EndpointHealth)
    cold_until: Instant = Instant(0.0)
    is_unconfirmed: bool = False
    backoff_until: Instant = Instant(0.0)
    declared_limit: DeclaredLimit | None = None
    version_load: VersionLoad = field(default_factory=VersionLoad)
    unlimited_at: Instant = Instant(0.0)
    """When a success last showed that it declares no limit."""

    has_malformed_limit: bool = False
    """Whether the last limit that it declared was malformed."""

    @property
    def incarnation(self) -> Incarnation:
        """What identifies this incarnation of the endpoint."""
        return self.announcement.endpoint_id, self.announcement.born_ms

    def begin_exchange(self) -> None:
        """Count an exchange in flight, from the decision to send the request."""
        self.health.n_in_flight += 1
        self.version_load.n_in_flight += 1

    def end_exchange(self) -> None:
        """End what ``begin_exchange`` began."""
        self.health.n_in_flight -= 1
        self.version_load.n_in_flight -= 1

    def is_backing_off(self, now: Instant) -> bool:
        """Return whether the endpoint asked for a back-off that has not ended."""
        return now < self.backoff_until

    def is_cold(self, now: Instant) -> bool:
        """Return whether only the cold limit of requests may be sent to it."""
        return self.is_unconfirmed or now < self.cold_until

    def set_warmup_left(self, left_ms: float, now: Instant) -> None:
        """Set how long the endpoint stays cold; 0 or less means that it is warm."""
        self.cold_until = add_ms(now, left_ms) if left_ms > 0 else Instant(0.0)
