"""What a faulty endpoint sends: bytes without end, before, in and after a response.

Each fault has a start, which is sent once, and a unit that is repeated until the caller
closes the connection.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum

BLOCK_BYTES = 64 * 1024
N_INTERIM_FIELDS = 9_000
RUBBISH = b"\x00\xff no response "


class Moment(Enum):
    """When a faulty endpoint begins to send what nobody expects."""

    CONNECT = "connect"
    """As soon as a connection is open, before a request."""

    REQUEST = "request"
    """In place of the response to a request."""

    RESPONSE = "response"
    """Right after a complete response."""

    IDLE = "idle"
    """Some time after a complete response, when the connection is idle."""


@dataclass(frozen=True, slots=True)
class Pace:
    """How many bytes are passed to the kernel at a time, and the pause after them."""

    n_bytes: int
    pause_s: float


PACES = {
    "64k": Pace(BLOCK_BYTES, 0.0),
    "1b": Pace(1, 0.0),
    "slow": Pace(100, 0.02),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """What a faulty endpoint sends.

    ``head`` is what precedes the signed headers of a response, empty if no response
    begins; ``fields`` follows them, and ``unit`` is repeated without end.
    """

    unit: bytes
    head: bytes = b""
    fields: bytes = b""
    moment: Moment = Moment.REQUEST

    def start(self, request_id: bytes, instance: bytes) -> bytes:
        """Return what is sent once before the repeated bytes."""
        if not self.head:
            return self.fields
        return self.head + signed_headers(request_id, instance) + self.fields

    def block(self) -> bytes:
        """Return the repeated bytes, many units at a time."""
        return self.unit * max(1, BLOCK_BYTES // len(self.unit))


def signature_of(request_id: bytes) -> bytes:
    """Return the signature of the response to a request."""
    return hashlib.sha256(request_id).hexdigest().encode()


def signed_headers(request_id: bytes, instance: bytes) -> bytes:
    """Return the header lines that mark a response as that of an endpoint.

    A request without an id, such as a health check, gets a response without one.
    """
    lines = b"x-instance-id: %s\r\n" % instance
    if request_id:
        lines += b"x-request-id: %s\r\n" % request_id
        lines += b"x-response-signature: %s\r\n" % signature_of(request_id)
    return lines


def sound_response(request_id: bytes, instance: bytes, load: bytes) -> bytes:
    """Return a complete response."""
    body = signature_of(request_id) * 3
    return (
        _OK
        + signed_headers(request_id, instance)
        + b"x-server-load: %s\r\ncontent-length: %d\r\n\r\n" % (load, len(body))
        + body
    )


_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_INTERIM_FIELDS = b"a:\r\n" * N_INTERIM_FIELDS
_EXTENSION = b";" + b"e" * 60


def _chunk(n_bytes: int, extension: bytes = b"") -> bytes:
    return b"%x%s\r\n%s\r\n" % (n_bytes, extension, b"x" * n_bytes)


FAULTS = {
    # Before and in the head.
    "before_head": Fault(RUBBISH),
    "empty_lines": Fault(b"\r\n"),
    "status_line": Fault(b"x", fields=b"HTTP/1.1 200 "),
    "header_line": Fault(b"x", _OK, b"x-long: "),
    "headers": Fault(b"x-more: value\r\n", _OK),
    "interim": Fault(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "interim_fields": Fault(
        b"HTTP/1.1 103 Early Hints\r\n" + _INTERIM_FIELDS + b"\r\n"
    ),
    # In the body.
    "length": Fault(b"x", _OK, b"content-length: 9999999999\r\n\r\n"),
    "no_length": Fault(b"x", _OK, b"\r\n"),
    "chunks_1": Fault(_chunk(1), _OK, _CHUNKED),
    "chunks_2": Fault(_chunk(2), _OK, _CHUNKED),
    "chunks_64k": Fault(_chunk(64 * 1024), _OK, _CHUNKED),
    "chunk_extensions": Fault(_chunk(1, _EXTENSION), _OK, _CHUNKED),
    "chunk_line": Fault(b"e", _OK, _CHUNKED + b"1;"),
    "trailers": Fault(b"x-more: value\r\n", _OK, _CHUNKED + b"0\r\n"),
    "trailer_line": Fault(b"x", _OK, _CHUNKED + b"0\r\nx-long: "),
    # Outside of a response.
    "connect": Fault(RUBBISH, moment=Moment.CONNECT),
    "after_response": Fault(RUBBISH, moment=Moment.RESPONSE),
    "idle": Fault(RUBBISH, moment=Moment.IDLE),
    "idle_responses": Fault(
        _OK + b"x-request-id: none\r\ncontent-length: 2\r\n\r\nok", moment=Moment.IDLE
    ),
}
"""The faults by their names on the command line."""
