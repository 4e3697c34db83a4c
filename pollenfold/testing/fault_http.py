"""The HTTP side of faults: damaged answers, and callers that close their connection."""

from __future__ import annotations

from dataclasses import dataclass

import curio
import h11
from curio import socket
from curio.traps import _read_wait

from ..http.caller import CallerConnection
from ..http.messages import Request, Response
from ..http.readiness import is_closed_by_peer
from ..http.server import HttpServer
from .faults import FaultKind


@dataclass(slots=True)
class DamagedResponse(Response):
    """A response whose bytes are changed on the way out."""

    kind: FaultKind = FaultKind.TRUNCATED_ANSWER
    delay_ms: float = 0.0


class FaultConnection(CallerConnection):
    """A connection that may damage answers."""

    async def _write(self, parser: h11.Connection, response: Response) -> None:
        if not isinstance(response, DamagedResponse):
            await super()._write(parser, response)
            return
        client, capture = self._client, _Capture()
        self._client = capture
        try:
            await super()._write(parser, response)
        finally:
            self._client = client
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


class FaultServer(HttpServer):
    """An HTTP server whose handler may damage answers."""

    connection_class = FaultConnection


class _Capture:
    """Takes what is written to a connection."""

    data = b""

    async def sendall(self, data: bytes) -> None:
        self.data += data


async def closed_within(request: Request, duration_ms: float) -> bool:
    """Wait for the duration; return True at once when the caller closes.

    At once matters: a request that its caller gave up counts as running until then,
    and the caller may have sent the next one.
    """
    async with curio.ignore_after(max(0.0, duration_ms) / 1000):
        await _read_wait(request.descriptor)
        if is_closed_by_peer(request.descriptor):
            return True
        # A pipelined request keeps the socket readable, so that a later close
        # can't be seen.
        await curio.Event().wait()
    return False
