"""The frame that carries every message between the system's processes."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from expression import Error, Ok, Result

from ..core.errors import ErrorKind, Failure

MAX_PAYLOAD_BYTES = 1 << 20
"""Greatest payload of one frame; bounds the memory that a bad peer can claim."""

_HEADER = struct.Struct(">IBBI")
HEADER_BYTES = _HEADER.size


class Protocol(IntEnum):
    """The conversation that a frame belongs to."""

    AGREEMENT = 1
    LEASE = 2
    LEDGER = 3
    MEMBERSHIP = 4
    OPERATOR = 5


class Flag(IntEnum):
    """The direction of a frame, and whether the handler failed."""

    REQUEST = 0
    RESPONSE = 1
    ERROR = 2


@dataclass(frozen=True, slots=True)
class Header:
    """The fixed part of a frame."""

    n_payload_bytes: int
    protocol: Protocol
    flag: Flag
    request_id: int


def encode_frame(
    protocol: Protocol, flag: Flag, request_id: int, payload: bytes
) -> bytes:
    """Return one frame as bytes; raise ValueError for an oversized payload."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(
            f"expected a payload of at most {MAX_PAYLOAD_BYTES} bytes, "
            f"got {len(payload)}"
        )
    return _HEADER.pack(len(payload), protocol, flag, request_id) + payload


def decode_header(data: bytes) -> Result[Header, Failure]:
    """Read a frame header; a malformed one gives ``BAD_FRAME``."""
    n_payload_bytes, protocol, flag, request_id = _HEADER.unpack(data)
    if n_payload_bytes > MAX_PAYLOAD_BYTES:
        detail = f"payload of {n_payload_bytes} bytes, at most {MAX_PAYLOAD_BYTES}"
        return Error(Failure(ErrorKind.BAD_FRAME, detail))
    try:
        header = Header(n_payload_bytes, Protocol(protocol), Flag(flag), request_id)
    except ValueError as error:
        return Error(Failure(ErrorKind.BAD_FRAME, str(error)))
    return Ok(header)
