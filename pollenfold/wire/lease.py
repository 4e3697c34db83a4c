"""Data classes of the lease protocol, and their encoding with Cap'n Proto."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import capnp
from expression import Error, Ok, Result

from ..core.directory import LeaveNotice, LiveEntry
from ..core.errors import ErrorKind, Failure
from .schemas import MAX_TRAVERSAL_WORDS, load_schema


@dataclass(frozen=True, slots=True)
class AgedNotice:
    """A leave notice and its age in milliseconds when the message was sent."""

    notice: LeaveNotice
    age_ms: float


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request of an entry to the control leader for a lease; see ``lease.capnp``."""

    entry: LiveEntry
    acknowledged: int
    cursor: int
    directory_revision: int
    epoch: int
    notice_sequence: int
    notices: tuple[AgedNotice, ...]
    wait_ms: float
    holds_lease: bool
    is_forwarded: bool = False


@dataclass(frozen=True, slots=True)
class LeaseResponse:
    """The response to a lease request; ``error`` is None when the lease is granted.

    ``records`` holds pairs of a revision and its encoded record.
    """

    error: ErrorKind | None = None
    detail: str = ""
    leader: tuple[str, int] | None = None
    lease_ms: float = 0.0
    epoch: int = 0
    revision: int = 0
    records: tuple[tuple[int, bytes], ...] = ()
    cursor: int = 0
    directory_revision: int = 0
    directory: tuple[LiveEntry, ...] = ()
    notice_sequence: int = 0
    notices: tuple[AgedNotice, ...] = ()


def encode_request(request: LeaseRequest) -> bytes:
    """Return the encoded request."""
    message = load_schema("lease").LeaseRequest.new_message(
        entry=_entry_fields(request.entry),
        acknowledged=request.acknowledged,
        cursor=request.cursor,
        directoryRevision=request.directory_revision,
        epoch=request.epoch,
        noticeSequence=request.notice_sequence,
        notices=[_notice_fields(aged) for aged in request.notices],
        waitMs=request.wait_ms,
        holdsLease=request.holds_lease,
        isForwarded=request.is_forwarded,
    )
    return bytes(message.to_bytes())


def decode_request(data: bytes) -> Result[LeaseRequest, Failure]:
    """Decode a request; malformed bytes give ``BAD_FRAME``."""
    schema = load_schema("lease").LeaseRequest
    try:
        with schema.from_bytes(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as message:
            return Ok(
                LeaseRequest(
                    _read_entry(message.entry),
                    message.acknowledged,
                    message.cursor,
                    message.directoryRevision,
                    message.epoch,
                    message.noticeSequence,
                    tuple(_read_notice(notice) for notice in message.notices),
                    message.waitMs,
                    message.holdsLease,
                    message.isForwarded,
                )
            )
    except (capnp.KjException, ValueError) as error:
        return Error(Failure(ErrorKind.BAD_FRAME, str(error)))


def encode_response(response: LeaseResponse) -> bytes:
    """Return the encoded response."""
    host, port = response.leader or ("", 0)
    message = load_schema("lease").LeaseResponse.new_message(
        error=response.error.value if response.error else "",
        detail=response.detail,
        leaderHost=host,
        leaderPort=port,
        leaseMs=response.lease_ms,
        epoch=response.epoch,
        revision=response.revision,
        records=[
            {"revision": revision, "data": data} for revision, data in response.records
        ],
        cursor=response.cursor,
        directoryRevision=response.directory_revision,
        directory=[_entry_fields(entry) for entry in response.directory],
        noticeSequence=response.notice_sequence,
        notices=[_notice_fields(aged) for aged in response.notices],
    )
    return bytes(message.to_bytes())


def decode_response(data: bytes) -> Result[LeaseResponse, Failure]:
    """Decode a response; malformed bytes or an unknown error give ``BAD_FRAME``."""
    schema = load_schema("lease").LeaseResponse
    try:
        with schema.from_bytes(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as message:
            port = message.leaderPort
            return Ok(
                LeaseResponse(
                    ErrorKind(message.error) if message.error else None,
                    message.detail,
                    (message.leaderHost, port) if port else None,
                    message.leaseMs,
                    message.epoch,
                    message.revision,
                    tuple(
                        (item.revision, bytes(item.data)) for item in message.records
                    ),
                    message.cursor,
                    message.directoryRevision,
                    tuple(_read_entry(entry) for entry in message.directory),
                    message.noticeSequence,
                    tuple(_read_notice(notice) for notice in message.notices),
                )
            )
    except (capnp.KjException, ValueError) as error:
        return Error(Failure(ErrorKind.BAD_FRAME, str(error)))


def _entry_fields(entry: LiveEntry) -> dict[str, Any]:
    return {
        "entryId": entry.entry_id,
        "incarnation": entry.incarnation,
        "host": entry.host,
        "callerPort": entry.caller_port,
        "platformPort": entry.platform_port,
        "peerPort": entry.peer_port,
        "zone": entry.zone,
    }


def _read_entry(message: Any) -> LiveEntry:
    return LiveEntry(
        message.entryId,
        message.incarnation,
        message.host,
        message.callerPort,
        message.platformPort,
        message.peerPort,
        message.zone,
    )


def _notice_fields(aged: AgedNotice) -> dict[str, Any]:
    return {
        "endpoint": aged.notice.endpoint,
        "service": aged.notice.service,
        "incarnation": aged.notice.incarnation,
        "ageMs": aged.age_ms,
    }


def _read_notice(message: Any) -> AgedNotice:
    notice = LeaveNotice(message.endpoint, message.service, message.incarnation)
    return AgedNotice(notice, message.ageMs)
