"""Relays requests to peers: entries that reach endpoints that this one doesn't."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..http.messages import Response
from .calls import Call
from .peers import Peer


class RelayOutcome(Enum):
    """How a relayed request ended."""

    RESPONDED = "responded"
    """An endpoint responded. The response is passed on unchanged."""

    NOT_STARTED = "not_started"
    """The peer said that no endpoint executed the request."""

    UNREACHABLE = "unreachable"
    """No byte of the request was sent to the peer."""

    LOST = "lost"
    """The request was sent, at least in part, and may have been executed."""

    EXPIRED = "expired"
    """The deadline passed; the request may have been executed."""


@dataclass(frozen=True, slots=True)
class RelayResult:
    """The end of a relayed request.

    ``response`` is that of the endpoint with RESPONDED, the peer's own otherwise, or
    None. ``endpoint_id`` names the endpoint that responded last, or is empty.
    ``peer_in_flight`` is the number of requests in flight at the peer, if it said so.
    ``reached`` is whether an endpoint of the service responded to the peer for this
    request, or None if the peer didn't say.
    """

    outcome: RelayOutcome
    response: Response | None = None
    endpoint_id: str = ""
    peer_in_flight: int | None = None
    reached: bool | None = None


@dataclass(frozen=True, slots=True)
class ReachReport:
    """The services whose endpoints a peer reaches, and its requests in flight."""

    services: frozenset[str]
    n_in_flight: int


class RelayClient:
    """Sends requests to peers."""

    async def relay(self, call: Call, peer: Peer) -> RelayResult:
        """Send a request to a peer and return how it ended."""
        raise NotImplementedError

    async def ask_reach(self, peer: Peer) -> ReachReport | None:
        """Return which services a peer reaches, or None if it doesn't respond."""
        raise NotImplementedError
