"""Encodes and decodes the messages and the journal entries of the ledger.

The decoding functions raise ``ValueError`` for malformed bytes.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import capnp

from ..core.clock import Instant
from ..core.register import (
    BLANK_REGISTER,
    EMPTY,
    INITIAL_BALLOT,
    Accept,
    Ballot,
    Claim,
    Message,
    Outcome,
    Prepare,
    Register,
    Reply,
    State,
    Value,
)
from .schemas import MAX_TRAVERSAL_WORDS, load_schema

_STATE_NAMES = {
    State.EMPTY: "empty",
    State.CLAIMED: "claimed",
    State.ABANDONED: "abandoned",
    State.COMPLETED: "completed",
    State.IN_DOUBT: "inDoubt",
}
_STATES = {name: state for state, name in _STATE_NAMES.items()}


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Requests the register of a key without changing it."""


@dataclass(frozen=True, slots=True)
class UnresolvedRequest:
    """Requests the keys of claims without an outcome, at most ``limit`` of them."""

    limit: int


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Requests the incarnation of a replica and whether it may vote."""


@dataclass(frozen=True, slots=True)
class Fence:
    """Announces the new epoch of a replica that lost its disk.

    The replica sends it before it copies the registers of the receiver.
    """

    replica_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PageRequest:
    """Requests a page of the registers, after the receiver accepted a ``Fence``.

    ``offset`` is a position in the list of keys that it stored at that time.
    """

    replica_id: str
    epoch: int
    offset: int


@dataclass(frozen=True, slots=True)
class Status:
    """The response to ``StatusRequest``.

    ``founders`` holds the incarnations of the replicas that formed the cluster.
    """

    incarnation: str
    is_blank: bool
    founders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """A page of the registers of a replica, each with its key and its age in ms."""

    registers: tuple[tuple[str, Register, float], ...]
    next_offset: int
    is_last: bool


Request = (
    Message | ReadRequest | UnresolvedRequest | StatusRequest | Fence | PageRequest
)
Body = Reply | tuple[str, ...] | Status | Page | None
Epochs = tuple[int, ...]


def encode_request(key: str, request: Request) -> bytes:
    """Return the encoded request; ``key`` is empty for requests without a key."""
    message = load_schema("ledger").Request.new_message(key=key)
    match request:
        case Claim(claim_id):
            message.claim = claim_id
        case Prepare(ballot):
            _set_ballot(message.init("prepare"), ballot)
        case Accept(ballot, value):
            accept = message.init("accept")
            _set_ballot(accept.init("ballot"), ballot)
            _set_value(accept.init("value"), value)
        case ReadRequest():
            message.read = None
        case UnresolvedRequest(limit):
            message.unresolved = limit
        case StatusRequest():
            message.status = None
        case Fence(replica_id, epoch):
            fence = message.init("fence")
            fence.replicaId = replica_id
            fence.epoch = epoch
        case PageRequest(replica_id, epoch, offset):
            page = message.init("page")
            page.replicaId = replica_id
            page.epoch = epoch
            page.offset = offset
    return message.to_bytes()


def decode_request(data: bytes) -> tuple[str, Request]:
    """Return the key and the request."""
    with _open_message("Request", data) as message:
        return message.key, _read_request(message)


def _read_request(message: Any) -> Request:
    match message.which():
        case "claim":
            return Claim(message.claim)
        case "prepare":
            return Prepare(_read_ballot(message.prepare))
        case "accept":
            accept = message.accept
            return Accept(_read_ballot(accept.ballot), _read_value(accept.value))
        case "read":
            return ReadRequest()
        case "unresolved":
            return UnresolvedRequest(message.unresolved)
        case "status":
            return StatusRequest()
        case "fence":
            return Fence(message.fence.replicaId, message.fence.epoch)
    page = message.page
    return PageRequest(page.replicaId, page.epoch, page.offset)


def encode_response(epochs: Epochs, body: Body) -> bytes:
    """Return the encoded response.

    Leave the register blank in the reply to a granted claim or accept: the claimant
    knows its value, which may hold a complete outcome.
    """
    message = load_schema("ledger").Response.new_message(epochs=epochs)
    match body:
        case Reply():
            reply = message.init("reply")
            reply.isGranted = body.is_granted
            reply.ageMs = body.age_ms
            if body.register is not BLANK_REGISTER:
                _set_register(reply.init("register"), body.register)
        case Status(incarnation, is_blank, founders):
            status = message.init("status")
            status.incarnation = incarnation
            status.isBlank = is_blank
            status.founders = founders
        case Page(registers, next_offset, is_last):
            page = message.init("page")
            page.nextOffset = next_offset
            page.isLast = is_last
            entries = page.init("registers", len(registers))
            for entry, (key, register, age) in zip(entries, registers, strict=True):
                entry.key = key
                entry.ageMs = age
                _set_register(entry.init("register"), register)
        case None:
            message.fenced = None
        case _:
            message.keys = body
    return message.to_bytes()


def decode_response(data: bytes) -> tuple[Epochs, Body]:
    """Return the epochs known to the replica, and the body of its response."""
    with _open_message("Response", data) as message:
        epochs = tuple(message.epochs)
        return epochs, _read_body(message, epochs)


def _read_body(message: Any, epochs: Epochs) -> Body:
    match message.which():
        case "reply":
            reply = message.reply
            register = BLANK_REGISTER
            if reply._has("register"):
                register = _read_register(reply.register)
            return Reply(reply.isGranted, register, reply.ageMs, epochs)
        case "keys":
            return tuple(message.keys)
        case "status":
            status = message.status
            founders = tuple(status.founders)
            return Status(status.incarnation, status.isBlank, founders)
        case "page":
            page = message.page
            registers = tuple(
                (entry.key, _read_register(entry.register), entry.ageMs)
                for entry in page.registers
            )
            return Page(registers, page.nextOffset, page.isLast)
    return None


def encode_register_entry(key: str, register: Register) -> bytes:
    """Return the journal entry of one register."""
    message = load_schema("ledger").JournalEntry.new_message()
    entry = message.init("register")
    entry.key = key
    _set_register(entry.init("register"), register)
    return message.to_bytes()


def encode_epochs_entry(epochs: Epochs) -> bytes:
    """Return the journal entry of the known epochs."""
    return load_schema("ledger").JournalEntry.new_message(epochs=epochs).to_bytes()


def encode_founders_entry(founders: tuple[str, ...]) -> bytes:
    """Return the journal entry of the incarnations that formed the cluster."""
    schema = load_schema("ledger")
    return schema.JournalEntry.new_message(founders=founders).to_bytes()


def decode_entry(data: bytes) -> tuple[str, Register] | Epochs | list[str]:
    """Return a register with its key, the epochs, or the list of founders."""
    with _open_message("JournalEntry", data) as message:
        match message.which():
            case "register":
                entry = message.register
                return entry.key, _read_register(entry.register)
            case "epochs":
                return tuple(message.epochs)
        return list(message.founders)


@contextmanager
def _open_message(struct_name: str, data: bytes) -> Iterator[Any]:
    schema = getattr(load_schema("ledger"), struct_name)
    try:
        with schema.from_bytes(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as message:
            yield message
    except (capnp.KjException, UnicodeDecodeError, KeyError) as error:
        raise ValueError(f"expected a ledger {struct_name}, got {error}") from error


def _set_ballot(message: Any, ballot: Ballot) -> None:
    message.round, message.proposer = ballot


def _read_ballot(message: Any) -> Ballot:
    return message.round, message.proposer


def _set_value(message: Any, value: Value) -> None:
    message.state = _STATE_NAMES[value.state]
    message.claimIds = value.claim_ids
    message.isOpen = value.is_open
    if value.outcome is not None:
        outcome = message.init("outcome")
        outcome.status = value.outcome.status
        outcome.body = value.outcome.body
        fields = outcome.init("headers", len(value.outcome.headers))
        for field, (name, content) in zip(fields, value.outcome.headers, strict=True):
            field.name = name
            field.value = content


def _read_value(message: Any) -> Value:
    state = _STATES[str(message.state)]
    if state is State.EMPTY:
        return EMPTY
    outcome = None
    if state is State.COMPLETED:
        outcome_reader = message.outcome
        headers = tuple((field.name, field.value) for field in outcome_reader.headers)
        outcome = Outcome(outcome_reader.status, headers, outcome_reader.body)
    return Value(state, tuple(message.claimIds), outcome, message.isOpen)


def _set_register(message: Any, register: Register) -> None:
    if register.promised != INITIAL_BALLOT:
        _set_ballot(message.init("promised"), register.promised)
    if register.accepted != INITIAL_BALLOT:
        _set_ballot(message.init("accepted"), register.accepted)
    _set_value(message.init("value"), register.value)
    message.isVoteUnknown = register.is_vote_unknown
    message.changedAtMs = register.changed_at
    message.promisedAtMs = register.promised_at


def _read_register(message: Any) -> Register:
    has = message._has
    return Register(
        _read_ballot(message.promised) if has("promised") else INITIAL_BALLOT,
        _read_ballot(message.accepted) if has("accepted") else INITIAL_BALLOT,
        _read_value(message.value),
        message.isVoteUnknown,
        Instant(message.changedAtMs),
        Instant(message.promisedAtMs),
    )
