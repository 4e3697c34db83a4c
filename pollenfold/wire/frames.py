"""The frame format of all RPC messages between processes of the system."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from expression import Error, Ok, Result

from ..core.errors import ErrorKind, Failure

MAX_PAYLOAD_BYTES = 1 << 20
"""Largest payload of one frame; bounds the memory that a faulty peer can use up."""

_HEADER = struct.Struct(">IBBI")
HEADER_BYTES = _HEADER.size


class Protocol(IntEnum):
    """The protocol that a frame belongs to."""

    AGREEMENT = 1
    LEASE = 2
    LEDGER = 3
    MEMBERSHIP = 4
    OPERATOR = 5
    ORDER = 6
    """Commands on a condition. Replicas of earlier versions close a connection with a
    frame of a protocol that they don't know."""


class Flag(IntEnum):
    """Whether a frame is a request, a response or a failure of the handler."""

    REQUEST = 0
    RESPONSE = 1
    ERROR = 2


@dataclass(frozen=True, slots=True)
class Header:
    """The decoded header of a frame, which has a fixed size."""

    n_payload_bytes: int
    protocol: Protocol
    flag: Flag
    request_id: int


def encode_frame(
    protocol: Protocol, flag: Flag, request_id: int, payload: bytes
) -> bytes:
    """Return the encoded frame; raise ValueError for an oversized payload."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(
            f"expected a payload of at most {MAX_PAYLOAD_BYTES} bytes, "
            f"got {len(payload)}"
        )
    return _HEADER.pack(len(payload), protocol, flag, request_id) + payload


def decode_header(data: bytes) -> Result[Header, Failure]:
    """Decode a frame header; a malformed header gives ``BAD_FRAME``."""
    n_payload_bytes, protocol, flag, request_id = _HEADER.unpack(data)
    if n_payload_bytes > MAX_PAYLOAD_BYTES:
        detail = (
            f"payload of {n_payload_bytes} bytes exceeds the limit of "
            f"{MAX_PAYLOAD_BYTES} bytes"
        )
        return Error(Failure(ErrorKind.BAD_FRAME, detail))
    try:
        header = Header(n_payload_bytes, Protocol(protocol), Flag(flag), request_id)
    except ValueError as error:
        return Error(Failure(ErrorKind.BAD_FRAME, str(error)))
    return Ok(header)
