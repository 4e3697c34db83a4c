"""A caller's connection that costs little, so that the load tool is not measured.

It reads answers with a declared length only, which is all that the servers of this
project send, and treats everything else as broken.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import curio
from curio import socket


class BrokenAnswer(Exception):
    """No whole answer came; the text says what came instead."""


@dataclass(slots=True)
class Answer:
    """One whole answer; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    def refusal(self) -> tuple[str, str]:
        """Return the error kind and the run state of an answer that is no success."""
        try:
            fields: dict[str, Any] = json.loads(self.body)
            return str(fields["error"]), str(fields["run_state"])
        except (ValueError, KeyError, TypeError):
            state = self.headers.get(b"pollenfold-run-state", b"none")
            return f"status_{self.status}", state.decode("latin-1")


class CallerConnection:
    """A connection that is opened on demand and closed after any failure."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._sock: Any = None

    async def call(self, request: bytes, timeout_ms: float) -> Answer:
        """Send the bytes of one request and return its answer.

        Raise BrokenAnswer when the connection fails, the answer is not whole, or
        the time is over.
        """
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                if self._sock is None:
                    await self.open()
                await self._sock.sendall(request)
                answer = await self._read()
        except curio.TaskTimeout as error:
            await self.close()
            raise BrokenAnswer(f"no answer after {timeout_ms} ms") from error
        except ConnectionRefusedError as error:
            await self.close()
            raise BrokenAnswer("connection refused") from error
        except OSError as error:
            await self.close()
            raise BrokenAnswer("connection broken") from error
        except BaseException:
            await self.close()
            raise
        if answer.headers.get(b"connection") == b"close":
            await self.close()
        return answer

    async def open(self) -> None:
        """Connect; raise OSError when the server can't be reached."""
        self._sock = await curio.open_connection(self.host, self.port)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def close(self) -> None:
        """Close the connection; the next call opens another."""
        sock, self._sock = self._sock, None
        if sock is not None:
            await sock.close()

    async def _read(self) -> Answer:
        data = b""
        while (end := data.find(b"\r\n\r\n")) < 0:
            data += await self._receive("connection closed before the answer", data)
        status_line, *lines = data[:end].split(b"\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip()
        try:
            status = int(status_line.split(b" ", 2)[1])
            n_bytes = end + 4 + int(headers[b"content-length"])
        except (ValueError, KeyError, IndexError) as error:
            raise BrokenAnswer("malformed answer") from error
        while len(data) < n_bytes:
            data += await self._receive("truncated answer", data)
        if len(data) > n_bytes:
            raise BrokenAnswer("surplus bytes after the answer")
        return Answer(status, headers, data[end + 4 :])

    async def _receive(self, failure: str, so_far: bytes) -> bytes:
        chunk: bytes = await self._sock.recv(65536)
        if not chunk:
            raise BrokenAnswer(failure if so_far else "connection closed")
        return chunk


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
