"""Encodes and decodes the messages of the replicated log with Cap'n Proto."""

from __future__ import annotations

from dataclasses import fields
from functools import cache
from typing import Any

import capnp
from expression import Error, Ok, Result

from ..core.agreement.log import Entry
from ..core.agreement.messages import (
    AppendRequest,
    AppendResponse,
    Body,
    Inquiry,
    InquiryResponse,
    Message,
    SnapshotRequest,
    SnapshotResponse,
    VoteRequest,
    VoteResponse,
)
from ..core.errors import ErrorKind, Failure
from .schemas import MAX_TRAVERSAL_WORDS, load_schema

_BODY_TYPES: dict[str, type[Body]] = {
    "voteRequest": VoteRequest,
    "voteResponse": VoteResponse,
    "appendRequest": AppendRequest,
    "appendResponse": AppendResponse,
    "snapshotRequest": SnapshotRequest,
    "snapshotResponse": SnapshotResponse,
    "inquiry": Inquiry,
    "inquiryResponse": InquiryResponse,
}
_BODY_NAMES = {kind: name for name, kind in _BODY_TYPES.items()}


def _camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


@cache
def _field_names(message_type: type) -> tuple[tuple[str, str], ...]:
    """Return the name of each field in the data class and in the schema."""
    return tuple((item.name, _camel_case(item.name)) for item in fields(message_type))


def _schema_value(name: str, value: Any) -> Any:
    if name == "entries":
        return [entry_fields(entry) for entry in value]
    if name == "founders":
        return founder_fields(value)
    return value


def _python_value(name: str, value: Any) -> Any:
    if name == "entries":
        return tuple(Entry(e.index, e.term, bytes(e.command)) for e in value)
    if name == "founders":
        return decode_founders(value)
    return bytes(value) if name == "data" else value


def entry_fields(entry: Entry) -> dict[str, Any]:
    """Return a log entry as a dictionary of schema fields."""
    return {"index": entry.index, "term": entry.term, "command": entry.command}


def founder_fields(founders: tuple[tuple[str, str], ...]) -> list[dict[str, str]]:
    """Return the founders as dictionaries of schema fields."""
    return [
        {"replicaId": replica_id, "incarnation": incarnation}
        for replica_id, incarnation in founders
    ]


def decode_founders(reader: Any) -> tuple[tuple[str, str], ...]:
    """Return the founders from the reader of a list of ``Founder``."""
    return tuple((item.replicaId, item.incarnation) for item in reader)


def encode_message(message: Message) -> bytes:
    """Return a message encoded as the payload of a frame."""
    body = message.body
    body_fields = {
        name: _schema_value(field, getattr(body, field))
        for field, name in _field_names(type(body))
    }
    return (
        load_schema("agreement")
        .Message.new_message(
            sender=message.sender,
            recipient=message.recipient,
            incarnation=message.incarnation,
            **{_BODY_NAMES[type(body)]: body_fields},
        )
        .to_bytes()
    )


def decode_message(payload: bytes) -> Result[Message, Failure]:
    """Decode a message; a malformed payload gives ``BAD_FRAME``."""
    schema = load_schema("agreement")
    try:
        with schema.Message.from_bytes(
            payload, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as reader:
            body_name = reader.which()
            body_type = _BODY_TYPES[str(body_name)]
            body_reader = getattr(reader, str(body_name))
            body = body_type(
                *(
                    _python_value(field, getattr(body_reader, name))
                    for field, name in _field_names(body_type)
                )
            )
            return Ok(
                Message(reader.sender, reader.recipient, reader.incarnation, body)
            )
    except (capnp.KjException, LookupError, ValueError) as error:
        return Error(Failure(ErrorKind.BAD_FRAME, str(error).splitlines()[0]))
