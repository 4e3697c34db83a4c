"""JSON lines over a connection, for streams that one process sends to many.

The format is JSON because a schema library would take a quarter of the memory of an
entry, which holds many such streams.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import curio
from curio import socket

MAX_LINE_BYTES = 8 << 20
_READ_BYTES = 64 * 1024


class BadLineError(OSError):
    """A line that isn't a JSON object or is too long; the connection must be closed."""


def encode_line(message: dict[str, Any]) -> bytes:
    """Return a message as one line."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


async def read_lines(
    sock: socket.socket,
    idle_timeout_ms: Callable[[], float],
    on_part: Callable[[], None] = lambda: None,
) -> AsyncIterator[dict[str, Any]]:
    """Yield each message until the peer closes the connection.

    ``idle_timeout_ms`` is called before each read, since the timeout may change, and
    ``on_part`` after each read that ends within a line. Raise OSError when the
    connection fails or nothing is received within the timeout, and BadLineError for a
    malformed line.
    """
    buffer = bytearray()
    while True:
        timeout_ms = idle_timeout_ms()
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                data = await sock.recv(_READ_BYTES)
        except curio.TaskTimeout:
            raise TimeoutError(f"no data received for {timeout_ms} ms") from None
        if not data:
            return
        n_searched = len(buffer)
        buffer += data
        while (end := buffer.find(b"\n", n_searched)) >= 0:
            line = bytes(buffer[:end])
            del buffer[: end + 1]
            n_searched = 0
            yield _decode_line(line)
        if buffer:
            on_part()
        if len(buffer) > MAX_LINE_BYTES:
            raise BadLineError(f"expected a line of at most {MAX_LINE_BYTES} bytes")


def _decode_line(line: bytes) -> dict[str, Any]:
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise BadLineError(f"expected a line of JSON, got {line[:40]!r}") from error
    if not isinstance(message, dict):
        raise BadLineError(f"expected a JSON object, got {line[:40]!r}")
    return message
