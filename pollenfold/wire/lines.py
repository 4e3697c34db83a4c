"""JSON lines over a connection, for streams that one side pushes to many.

Entries hold many such streams and are small, which is why they carry JSON of the
standard library: a schema library would take a quarter of an entry's memory.
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
    """A line that isn't a JSON object, or is too long; it ends the connection."""


def encode_line(message: dict[str, Any]) -> bytes:
    """Return a message as one line."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


async def read_lines(
    sock: socket.socket, idle_timeout_ms: Callable[[], float]
) -> AsyncIterator[dict[str, Any]]:
    """Yield each message until the peer closes.

    ``idle_timeout_ms`` is asked before each read, since it may change meanwhile.
    Raise OSError when the connection breaks or nothing came for the timeout, and
    BadLineError for a malformed line.
    """
    buffer = bytearray()
    while True:
        limit_ms = idle_timeout_ms()
        try:
            async with curio.timeout_after(limit_ms / 1000):
                data = await sock.recv(_READ_BYTES)
        except curio.TaskTimeout:
            raise TimeoutError(f"nothing received for {limit_ms} ms") from None
        if not data:
            return
        buffer += data
        while (end := buffer.find(b"\n")) >= 0:
            line = bytes(buffer[:end])
            del buffer[: end + 1]
            yield _decode_line(line)
        if len(buffer) > MAX_LINE_BYTES:
            raise BadLineError(f"a line of more than {MAX_LINE_BYTES} bytes")


def _decode_line(line: bytes) -> dict[str, Any]:
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise BadLineError(f"expected JSON, got {line[:40]!r}") from error
    if not isinstance(message, dict):
        raise BadLineError(f"expected an object, got {line[:40]!r}")
    return message
