"""JSON lines over a connection, for streams that one process sends to many.

The format is JSON because a schema library would take a quarter of the memory of an
entry, which holds many such streams.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import curio

from .pace import ReadingPace
from .receive_buffers import receive_buffers
from .sockets import Socket

MAX_LINE_BYTES = 8 << 20
_READ_BYTES = 64 * 1024

FREE_LINE_BYTES = _READ_BYTES
"""Unfinished lines up to this size, as most are, need no room in a budget."""


class BadLineError(OSError):
    """A line that isn't a JSON object or is too long; the connection must be closed."""


class LineBudget:
    """Bounds the bytes of unfinished lines that connections hold together."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.n_held_bytes = 0

    def resize(self, before_bytes: int, after_bytes: int) -> None:
        """Change what one line holds; raise BadLineError if there is no room for it."""
        n_held_bytes = self.n_held_bytes + after_bytes - before_bytes
        if after_bytes > before_bytes and n_held_bytes > self._max_bytes:
            raise BadLineError(f"no memory for a line of {after_bytes} bytes")
        self.n_held_bytes = n_held_bytes


def encode_line(message: dict[str, Any]) -> bytes:
    """Return a message as one line."""
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


async def read_lines(
    sock: Socket,
    idle_timeout_ms: Callable[[], float],
    on_part: Callable[[], None] = lambda: None,
    max_line_bytes: int = MAX_LINE_BYTES,
    budget: LineBudget | None = None,
) -> AsyncIterator[dict[str, Any]]:
    """Yield each message until the peer closes the connection.

    ``idle_timeout_ms`` is called before each read, since the timeout may change, and
    ``on_part`` after each read that ends within a line. Raise OSError when the
    connection fails or nothing is received within the timeout, and BadLineError for a
    malformed line, one of more than ``max_line_bytes``, or one without room in the
    ``budget``.
    """
    buffer = bytearray()
    n_held_bytes = 0
    has_grown = False
    pace = ReadingPace()
    try:
        while True:
            pace.pause()
            data = await _receive(sock, idle_timeout_ms())
            if not data:
                return
            if pace.resume(len(data)):
                await pace.give_way()
            n_searched = len(buffer)
            buffer += data
            while (end := buffer.find(b"\n", n_searched)) >= 0:
                line = bytes(buffer[:end])
                del buffer[: end + 1]
                n_searched = 0
                message = _decode_line(line)
                if pace.is_step_over():
                    await pace.give_way()
                pace.pause()
                yield message
                pace.resume(0)
            if buffer:
                on_part()
                has_grown = has_grown or receive_buffers.grow_for(sock, len(buffer))
            if len(buffer) > max_line_bytes:
                raise BadLineError(f"expected a line of at most {max_line_bytes} bytes")
            if budget is not None:
                n_wanted_bytes = max(0, len(buffer) - FREE_LINE_BYTES)
                budget.resize(n_held_bytes, n_wanted_bytes)
                n_held_bytes = n_wanted_bytes
    finally:
        if budget is not None:
            budget.resize(n_held_bytes, 0)


async def _receive(sock: Socket, timeout_ms: float) -> bytes:
    try:
        async with curio.timeout_after(timeout_ms / 1000):
            return bytes(await sock.recv(_READ_BYTES))
    except curio.TaskTimeout:
        raise TimeoutError(f"no data received for {timeout_ms} ms") from None


def _decode_line(line: bytes) -> dict[str, Any]:
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise BadLineError(f"expected JSON, got {len(line)} bytes") from error
    if not isinstance(message, dict):
        raise BadLineError(f"expected an object, got a {type(message).__name__}")
    return message
