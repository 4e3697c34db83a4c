"""Requests to backend servers, validated and framed once for all attempts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

from ..http.messages import Headers

MAX_COPIED_BYTES = 16 * 1024
"""A body up to this length is copied behind the head, to be written in one call."""

ReadRemainingBody = Callable[[], Awaitable[bytes]]
"""Returns the next piece of a body, empty at its end."""


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A validated request.

    ``read_remaining_body`` returns the pieces that follow ``body``. The request may be
    sent several times as long as ``read_remaining_body`` has not been called.
    """

    head: h11.Request
    body: bytes = b""
    read_remaining_body: ReadRemainingBody | None = None

    def encode(self, parser: h11.Connection) -> list[bytes]:
        """Return the head and ``body`` as bytes; ``parser`` then expects the response.

        A long body stays separate from the head, so that it isn't copied.
        """
        data = [parser.send(self.head) or b""]
        if self.body:
            data.append(parser.send(h11.Data(data=self.body)) or b"")
        if self.read_remaining_body is None:
            data.append(parser.send(h11.EndOfMessage()) or b"")
        return data if len(self.body) > MAX_COPIED_BYTES else [b"".join(data)]


def outgoing_request(
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    read_remaining_body: ReadRemainingBody | None = None,
    length: bytes | None = None,
) -> OutgoingRequest:
    """Return a request to send; ``headers`` include the host but no framing.

    ``length`` is the content length of a body whose remainder comes from
    ``read_remaining_body``. Without ``length`` such a body is sent with chunked
    encoding.
    """
    framed_headers = headers
    if read_remaining_body is not None:
        chunked = (b"transfer-encoding", b"chunked")
        framing = chunked if length is None else (b"content-length", length)
        framed_headers = [*headers, framing]
    elif body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        framed_headers = [*headers, (b"content-length", b"%d" % len(body))]
    head = h11.Request(method=method, target=target, headers=framed_headers)
    return OutgoingRequest(head, body, read_remaining_body)
