"""How a document travels: as a difference, compressed where that saves bytes.

A whole document is a difference from the empty document of version 0. The receiver
checks the digest of what it holds afterwards.
"""

from __future__ import annotations

import binascii
import json
from typing import Any

from ..core.compression import compress, decompress
from ..core.document_difference import apply_difference, difference, document_digest
from ..core.replicated_state import MAX_PLAIN_COMMAND_BYTES

MIN_COMPRESSED_BYTES = 4 * 1024
"""Shorter differences are sent as they are, readable in a capture."""

MAX_DOCUMENT_CHARS = MAX_PLAIN_COMMAND_BYTES
MAX_DIFFERENCE_BYTES = 2 * MAX_PLAIN_COMMAND_BYTES
"""The largest document and the runs of a difference."""


class DocumentMismatchError(Exception):
    """The receiver can't build the document and must request the whole one."""


def encode_transfer(base_version: int, base: str, target: str) -> dict[str, Any]:
    """Return what a receiver needs that holds the base, as JSON values."""
    operations = difference(base, target)
    is_whole = operations == [target]
    transfer = {
        "base_version": 0 if is_whole else base_version,
        "digest": document_digest(target),
    }
    if is_whole and len(target) >= MIN_COMPRESSED_BYTES:
        # JSON text in a JSON text takes the receiver four times as long to decode.
        data = target.encode("utf-8", "surrogatepass")
        return {**transfer, "compressed_document": _encode_compressed(data)}
    data = json.dumps(operations, separators=(",", ":")).encode()
    if len(data) < MIN_COMPRESSED_BYTES:
        return {**transfer, "operations": operations}
    return {**transfer, "compressed_operations": _encode_compressed(data)}


def _encode_compressed(data: bytes) -> str:
    return binascii.b2a_base64(compress(data), newline=False).decode()


def _decode_compressed(text: str) -> bytes:
    return decompress(binascii.a2b_base64(text), MAX_DIFFERENCE_BYTES)


def decode_transfer(transfer: object, held_version: int, held: str) -> str:
    """Return the document that a sender encoded.

    Raise DocumentMismatchError if the held document isn't the base, or if the result
    isn't the document that the sender holds.
    """
    if not isinstance(transfer, dict):
        name = type(transfer).__name__
        raise DocumentMismatchError(f"expected an object, got a {name}")
    base_version = transfer.get("base_version")
    if base_version not in (0, held_version):
        raise DocumentMismatchError(
            f"difference from version {base_version}, version {held_version} held"
        )
    base = held if base_version else ""
    try:
        operations = _operations(transfer)
        document = apply_difference(base, operations, MAX_DOCUMENT_CHARS)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise DocumentMismatchError(f"malformed difference: {error}") from error
    digest = document_digest(document)
    if digest != transfer.get("digest"):
        raise DocumentMismatchError(
            f"digest {digest}, expected {transfer.get('digest')!r:.40}"
        )
    return document


def _operations(transfer: dict[str, Any]) -> Any:
    if "operations" in transfer:
        return transfer["operations"]
    if "compressed_document" in transfer:
        data = _decode_compressed(transfer["compressed_document"])
        return [data.decode("utf-8", "surrogatepass")]
    return json.loads(_decode_compressed(transfer["compressed_operations"]))
