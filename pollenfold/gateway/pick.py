"""The endpoint selected for a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.balancing.selection import ServerLoad
from .backend import BackendConnection
from .endpoint import Endpoint

if TYPE_CHECKING:
    from ..core.rollouts.state import Rollout


@dataclass(slots=True)
class Pick:
    """The endpoint selected for a request, with a connection that is ready for it.

    ``slowdown`` is the expected latency there as a multiple of the usual latency.
    ``load`` is the load that the endpoint has just reported, if any.
    """

    endpoint: Endpoint
    connection: BackendConnection
    slowdown: float
    load: ServerLoad | None = None


@dataclass(frozen=True, slots=True)
class EndpointSubset:
    """The endpoints of a service that an attempt may get during a roll-out.

    ``is_target`` is whether they are of the target version. ``is_search_repeated``
    means that another subset was searched for the same attempt before.
    """

    rollout: Rollout
    is_target: bool
    endpoints: list[Endpoint]
    is_search_repeated: bool = False

    @property
    def probe_key(self) -> tuple[str, int, bool]:
        """Identifies the version whose load a search finds."""
        return self.rollout.service, self.rollout.order_index, self.is_target
