"""A client connection with low overhead, so that the load tool adds little latency.

It reads only responses with a Content-Length, which is all that the servers of this
project send, and raises ResponseError for all others.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import curio
from curio import socket


class ResponseError(Exception):
    """No complete response was received; the message is a key of the figures."""


@dataclass(slots=True)
class Response:
    """One complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    def refusal(self) -> tuple[str, str]:
        """Return the error kind and the run state of an unsuccessful response."""
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

    async def call(self, request: bytes, timeout_ms: float) -> Response:
        """Send the bytes of one request and return its response.

        Raise ResponseError when the connection fails, the response is incomplete or
        malformed, or the timeout expires.
        """
        try:
            async with curio.timeout_after(timeout_ms / 1000):
                if self._sock is None:
                    await self.open()
                await self._sock.sendall(request)
                response = await self._read_response()
        except curio.TaskTimeout as error:
            await self.close()
            raise ResponseError(f"no answer after {timeout_ms} ms") from error
        except ConnectionRefusedError as error:
            await self.close()
            raise ResponseError("connection refused") from error
        except OSError as error:
            await self.close()
            raise ResponseError("connection broken") from error
        except BaseException:
            await self.close()
            raise
        if response.headers.get(b"connection") == b"close":
            await self.close()
        return response

    async def open(self) -> None:
        """Connect; raise OSError when the server can't be reached."""
        self._sock = await curio.open_connection(self.host, self.port)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def close(self) -> None:
        """Close the connection; the next call opens another."""
        sock, self._sock = self._sock, None
        if sock is not None:
            await sock.close()

    async def _read_response(self) -> Response:
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
            raise ResponseError("malformed answer") from error
        while len(data) < n_bytes:
            data += await self._receive("truncated answer", data)
        if len(data) > n_bytes:
            raise ResponseError("surplus bytes after the answer")
        return Response(status, headers, data[end + 4 :])

    async def _receive(self, failure: str, received: bytes) -> bytes:
        chunk: bytes = await self._sock.recv(65536)
        if not chunk:
            raise ResponseError(failure if received else "connection closed")
        return chunk


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
