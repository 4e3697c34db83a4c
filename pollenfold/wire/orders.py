"""The message with which a control replica forwards an order to the leader."""

from __future__ import annotations

from dataclasses import dataclass

import capnp
from expression import Error, Ok, Result

from ..core.errors import ErrorKind, Failure
from .schemas import MAX_TRAVERSAL_WORDS, load_schema


@dataclass(frozen=True, slots=True)
class ForwardedOrder:
    """A command that is appended unless another order came after an index."""

    after_index: int
    command: bytes


def encode_order(order: ForwardedOrder) -> bytes:
    """Return the order as the payload of a frame."""
    message = load_schema("orders").ForwardedOrder.new_message(
        afterIndex=order.after_index, command=order.command
    )
    return bytes(message.to_bytes())


def decode_order(payload: bytes) -> Result[ForwardedOrder, Failure]:
    """Decode an order; a malformed payload gives ``BAD_FRAME``."""
    schema = load_schema("orders")
    try:
        with schema.ForwardedOrder.from_bytes(
            payload, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        ) as reader:
            return Ok(ForwardedOrder(reader.afterIndex, bytes(reader.command)))
    except (capnp.KjException, ValueError) as error:
        return Error(Failure(ErrorKind.BAD_FRAME, str(error).splitlines()[0]))
