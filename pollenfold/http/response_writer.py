"""Writes the responses on a caller's connection, and ends it without a reset."""

from __future__ import annotations

import socket as sockets

import curio
import h11

from ..wire.sockets import Socket
from .messages import Response

LINGER_MS = 500.0
"""How long a closing connection still reads and discards what its caller is sending.

Closing a socket with unread bytes resets the connection, and the reset may reach the
caller before the response does."""

MAX_LINGER_BYTES = 4 << 20
"""How much a closing connection reads at most."""

_STATUS_WITHOUT_BODY = (204, 304)

RESPONSE_START = b"HTTP/1.1 "
"""What each response begins with, whatever its status."""


async def write_response(
    client: Socket, parser: h11.Connection, response: Response, has_sent_start: bool
) -> None:
    """Write a response; with ``has_sent_start``, without ``RESPONSE_START``.

    Raise BodyError if the rest of a long body can't be read, and OSError if the
    connection failed.
    """
    headers = [*response.headers]
    if response.close:
        headers.append((b"connection", b"close"))
    body_source = response.remaining_body
    length = len(response.body) if body_source is None else body_source.length
    # Without a length, h11 uses chunked encoding, or closes for HTTP/1.0 callers.
    if response.status not in _STATUS_WITHOUT_BODY and length is not None:
        headers.append((b"content-length", b"%d" % length))
    head = h11.Response(status_code=response.status, headers=headers)
    data = parser.send(head) or b""
    if has_sent_start:
        data = data.removeprefix(RESPONSE_START)
    if response.body:
        data += parser.send(h11.Data(data=response.body)) or b""
    while body_source is not None:
        await client.sendall(data)
        piece = await body_source.read()
        if not piece:
            data = b""
            break
        data = parser.send(h11.Data(data=piece)) or b""
    data += parser.send(h11.EndOfMessage()) or b""
    await client.sendall(data)


async def linger(client: Socket) -> None:
    """Shut down the sending half, then read and discard what is in transit."""
    await client.shutdown(sockets.SHUT_WR)
    n_bytes = 0
    async with curio.ignore_after(LINGER_MS / 1000):
        while n_bytes < MAX_LINGER_BYTES:
            data = await client.recv(64 * 1024)
            if not data:
                return
            n_bytes += len(data)
