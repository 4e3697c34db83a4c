"""The endpoint selected for a request."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.balancing.selection import ServerLoad
from .backend import BackendConnection
from .endpoint import Endpoint


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
