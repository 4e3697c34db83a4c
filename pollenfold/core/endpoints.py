"""The replicated state of an endpoint, and the merge of two versions of it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple


class EndpointKey(NamedTuple):
    """Identifies an endpoint across its incarnations."""

    service: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class WarmState:
    """The warm-up state of one incarnation, shared by all entries.

    ``zone_version`` is the version of the zone record under which the state was
    observed. A zone that returns to service has a higher version, so its endpoints
    are cold until a state with that version marks them as warm.
    """

    epoch: int = 0
    is_warm: bool = False
    zone_version: int = 0

    def merge_key(self) -> tuple[int, int, bool]:
        """Return the sort key for merges: zone version, epoch, then cold over warm."""
        return (self.zone_version, self.epoch, not self.is_warm)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One backend server of a service, as announced by itself."""

    service: str
    host: str
    port: int
    zone: str
    incarnation: int
    heartbeat: int
    ttl_ms: float
    slots: int
    connections: int
    is_leaving: bool = False
    warm: WarmState = WarmState()

    @property
    def key(self) -> EndpointKey:
        """The key of the endpoint, which is the same for all incarnations."""
        return EndpointKey(self.service, self.host, self.port)

    @property
    def name(self) -> str:
        """The address as ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AgedEndpoint:
    """An endpoint and the time since its last update, as seen by one entry.

    For a serving endpoint this is the time since its heartbeat counter increased, for
    a leaving one the time since its leave became known. The age lets a receiver
    expire or remove the endpoint at about the same time as the sender.
    """

    endpoint: Endpoint
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """States that one incarnation of an endpoint is leaving."""

    service: str
    host: str
    port: int
    incarnation: int


def merge_endpoints(left: Endpoint, right: Endpoint) -> Endpoint:
    """Return the join of two states of one endpoint.

    The higher incarnation wins. At equal incarnations leaving wins, the heartbeat
    counter is the maximum, the other fields come from the state with the higher
    counter, and the later warm state is used. The result does not depend on
    the order of merges.
    """
    if left.incarnation != right.incarnation:
        return left if left.incarnation > right.incarnation else right
    newer = max(left, right, key=_announced_fields)
    return replace(
        newer,
        is_leaving=left.is_leaving or right.is_leaving,
        warm=max(left.warm, right.warm, key=WarmState.merge_key),
    )


def _announced_fields(endpoint: Endpoint) -> tuple[int, str, float, int, int]:
    """Return the fields that a later announcement replaces, as a total order."""
    return (
        endpoint.heartbeat,
        endpoint.zone,
        endpoint.ttl_ms,
        endpoint.slots,
        endpoint.connections,
    )
