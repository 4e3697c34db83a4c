"""Faults at HTTP level: damaged responses, and detection of closed callers."""

from __future__ import annotations

from dataclasses import dataclass

import curio
import h11
from curio import socket
from curio.traps import _read_wait

from ..http.caller import CallerConnection
from ..http.messages import Request, Response
from ..http.server import HttpServer
from ..http.socket_state import is_closed_by_peer
from .faults import FaultKind


@dataclass(slots=True)
class DamagedResponse(Response):
    """Response whose bytes are altered when it is sent."""

    kind: FaultKind = FaultKind.TRUNCATED_ANSWER
    delay_ms: float = 0.0


class FaultConnection(CallerConnection):
    """Connection that applies the fault of a damaged response."""

    async def _write(self, parser: h11.Connection, response: Response) -> None:
        if not isinstance(response, DamagedResponse):
            await super()._write(parser, response)
            return
        client, capturing_socket = self._client, _CapturingSocket()
        self._client = capturing_socket
        try:
            await super()._write(parser, response)
        finally:
            self._client = client
        encoded = capturing_socket.data
        if response.kind is FaultKind.TRUNCATED_ANSWER:
            await client.sendall(encoded[: len(encoded) - len(response.body) // 2 - 1])
            await client.shutdown(socket.SHUT_RDWR)
        elif response.kind is FaultKind.OVERLONG_ANSWER:
            await client.sendall(encoded + b"surplus bytes")
        else:
            await client.sendall(encoded)
            await curio.sleep(response.delay_ms / 1000)
            await client.sendall(encoded)


class FaultServer(HttpServer):
    """HTTP server whose handler may return damaged responses."""

    connection_class = FaultConnection


class _CapturingSocket:
    """Collects the bytes that are written to a connection instead of sending them."""

    data = b""

    async def sendall(self, data: bytes) -> None:
        self.data += data


async def caller_closed_within(request: Request, duration_ms: float) -> bool:
    """Wait for the duration; return True as soon as the caller closes its connection.

    The close must be noticed immediately: an abandoned request counts as in flight
    until then, and the caller may already have sent the next one.
    """
    async with curio.ignore_after(max(0.0, duration_ms) / 1000):
        await _read_wait(request.descriptor)
        if is_closed_by_peer(request.descriptor):
            return True
        # A pipelined request keeps the socket readable, which hides a later close.
        await curio.Event().wait()
    return False
