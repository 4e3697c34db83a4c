"""Requests to backend servers, checked and framed once."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from ..http.messages import Headers

MAX_COPIED_BYTES = 16 * 1024
"""A body up to this length is written together with its head, in one call."""

ReadRest = Callable[[], Awaitable[bytes]]
"""Returns the next part of a body, and nothing at its end."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request that was checked once.

    It may be sent several times as long as nothing was taken from ``read_rest``, which
    gives what follows ``body``.
    """

    head: h11.Request
    body: bytes = b""
    read_rest: ReadRest | None = None

    def encode(self, parser: h11.Connection) -> list[bytes]:
        """Return what is at hand as bytes; ``parser`` then expects the response.

        A long body stays apart from the head, so that it isn't copied.
        """
        data = [parser.send(self.head) or b""]
        if self.body:
            data.append(parser.send(h11.Data(data=self.body)) or b"")
        if self.read_rest is None:
            data.append(parser.send(h11.EndOfMessage()) or b"")
        return data if len(self.body) > MAX_COPIED_BYTES else [b"".join(data)]


def outgoing_request(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    read_rest: ReadRest | None = None,
    length: bytes | None = None,
) -> OutgoingRequest:
    """Return a request to send; ``headers`` hold the host and no framing.

    ``length`` is that of a body of which ``read_rest`` gives the rest; without it such
    a body is sent in chunks.
    """
    framed = headers
    if read_rest is not None:
        chunked = (b"transfer-encoding", b"chunked")
        framing = chunked if length is None else (b"content-length", length)
        framed = [*headers, framing]
    elif body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        framed = [*headers, (b"content-length", b"%d" % len(body))]
    head = h11.Request(method=method, target=target, headers=framed)
    return OutgoingRequest(head, body, read_rest)
