"""The HTTP side of faults: damaged answers, and callers that close their connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import curio
import h11
from curio import socket

from ..http.messages import Request, Response
from ..http.server import HttpServer, ServerLimits
from .faults import FaultKind


@dataclass(slots=True)
class WorkRequest(Request):
    """A request with the connection it came on, to see the caller close it."""

    client: Any = None


@dataclass(slots=True)
class DamagedResponse(Response):
    """A response whose bytes are changed on the way out."""

    kind: FaultKind = FaultKind.TRUNCATED_ANSWER
    delay_ms: float = 0.0


class FaultServer(HttpServer):
    """An HTTP server whose handler sees the connection and may damage answers."""

    async def _read_request(
        self,
        connection: h11.Connection,
        client: socket.socket,
        peer: str,
        limits: ServerLimits,
    ) -> Request | None:
        request = await super()._read_request(connection, client, peer, limits)
        if request is None:
            return None
        return WorkRequest(
            request.method,
            request.target,
            request.headers,
            request.body,
            peer,
            client=client,
        )

    async def _write(
        self, connection: h11.Connection, client: socket.socket, response: Response
    ) -> None:
        if not isinstance(response, DamagedResponse):
            await super()._write(connection, client, response)
            return
        capture = _Capture()
        await super()._write(connection, capture, response)
        whole = capture.data
        if response.kind is FaultKind.TRUNCATED_ANSWER:
            await client.sendall(whole[: len(whole) - len(response.body) // 2 - 1])
            await client.shutdown(socket.SHUT_RDWR)
        elif response.kind is FaultKind.OVERLONG_ANSWER:
            await client.sendall(whole + b"surplus bytes")
        else:
            await client.sendall(whole)
            await curio.sleep(response.delay_ms / 1000)
            await client.sendall(whole)


class _Capture:
    """Takes what is written to a connection."""

    data = b""

    async def sendall(self, data: bytes) -> None:
        self.data += data


async def closed_within(request: Request, duration_ms: float) -> bool:
    """Wait for the duration; return True at once when the caller closes."""
    assert isinstance(request, WorkRequest)
    async with curio.ignore_after(max(0, duration_ms) / 1000):
        try:
            data = await request.client.recv(1, socket.MSG_PEEK)
        except OSError:
            return True
        if not data:
            return True
        # A pipelined request keeps the socket readable, so that a later close
        # can't be seen.
        await curio.Event().wait()
    return False
