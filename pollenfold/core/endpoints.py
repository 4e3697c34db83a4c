"""An endpoint as the entries know it, and the join of two states of it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple


class EndpointKey(NamedTuple):
    """What names an endpoint across its incarnations."""

    service: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class WarmState:
    """What the entries agree on about the warm-up of one incarnation.

    ``zone_version`` is the version of the zone record under which the state was
    observed. A zone that returns has a higher version, so its endpoints are cold
    until a state with that version says that they are warm.
    """

    epoch: int = 0
    is_warm: bool = False
    zone_version: int = 0

    def order(self) -> tuple[int, int, bool]:
        """Return the sort key of a merge; at equal epoch cold wins over warm."""
        return (self.zone_version, self.epoch, not self.is_warm)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One backend server of a service, as it announced itself."""

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
        """The name of the endpoint, without its incarnation."""
        return EndpointKey(self.service, self.host, self.port)

    @property
    def name(self) -> str:
        """The address as ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class AgedEndpoint:
    """An endpoint with the time since its last news, as one entry knows it.

    For a serving endpoint that is the time since its counter grew, for a leaving one
    the time since its leave became known. The age lets a receiver expire or forget
    the endpoint at about the same time as the sender.
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

    The higher incarnation wins. At equal incarnation leaving wins, the counter is
    the maximum, the other fields come from the state with the higher counter, and
    the warm state is the later one. The order of merges does not matter.
    """
    if left.incarnation != right.incarnation:
        return left if left.incarnation > right.incarnation else right
    newer = max(left, right, key=_announced)
    return replace(
        newer,
        is_leaving=left.is_leaving or right.is_leaving,
        warm=max(left.warm, right.warm, key=WarmState.order),
    )


def _announced(endpoint: Endpoint) -> tuple[int, str, float, int, int]:
    """Return the fields that a later announcement replaces; a total order."""
    return (
        endpoint.heartbeat,
        endpoint.zone,
        endpoint.ttl_ms,
        endpoint.slots,
        endpoint.connections,
    )
