"""Endpoints and peers for tests and benchmarks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result

from ..core.errors import ErrorKind
from ..core.membership import Endpoint
from ..core.records import ServiceSpec
from ..wire.frames import Protocol

_DEFAULT = Endpoint(
    service="pearl-market",
    host="10.0.0.1",
    port=8080,
    zone="a",
    incarnation=1,
    heartbeat=1,
    ttl_ms=5000.0,
    slots=6,
    connections=260,
)

_DEFAULT_SERVICE = ServiceSpec(
    name="pearl-market",
    tenant="namib-pearl",
    path_prefix="/market",
    timeout_ms=1000.0,
    rules=(),
    slots_per_endpoint=6,
    connections_per_endpoint=260,
    queue_limit=100,
    max_body_bytes=1 << 20,
    probes_per_s=100.0,
    probe_bytes_per_s=50_000.0,
    cold_slots=1,
    retry_ratio=0.1,
    hedge_ratio=0.05,
)


def make_service(**fields: Any) -> ServiceSpec:
    """Return the service ``pearl-market`` with some fields replaced."""
    return replace(_DEFAULT_SERVICE, **fields)


def make_endpoint(**fields: Any) -> Endpoint:
    """Return an endpoint of ``pearl-market`` with some fields replaced."""
    return replace(_DEFAULT, **fields)


class LocalPeer:
    """A peer in the same process; ``is_reachable`` cuts it off."""

    def __init__(self, handle: Callable[[bytes], Awaitable[bytes]]) -> None:
        self._handle = handle
        self.is_reachable = True
        self.n_bytes = 0

    async def call(
        self, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        """Answer as an RpcClient does; a failed handler is ``UNREACHABLE``."""
        if not self.is_reachable:
            return Error(ErrorKind.UNREACHABLE)
        try:
            answer = await self._handle(payload)
        except ValueError:
            return Error(ErrorKind.UNREACHABLE)
        self.n_bytes += len(payload) + len(answer)
        return Ok(answer)
