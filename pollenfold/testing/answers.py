"""Answers of the fake backend server, and the check that a caller makes of them."""

from __future__ import annotations

import json
from typing import Any

import xxhash

_DIGEST = b', "digest": "'


def encode_answer(fields: dict[str, Any], n_bytes: int = 0) -> bytes:
    """Return the fields as JSON that ends in a digest of everything before it.

    A field ``padding`` brings the fields to at least ``n_bytes``.
    """
    plain = json.dumps(fields)
    if len(plain) < n_bytes:
        plain = json.dumps({**fields, "padding": "x" * (n_bytes - len(plain))})
    start = plain[:-1].encode()
    return start + _DIGEST + xxhash.xxh64_hexdigest(start).encode() + b'"}'


def check_answer(body: bytes, request_id: str = "", key: str = "") -> str | None:
    """Return what is wrong with an answer, or None for the caller's own whole one.

    With a key the answer may come from an earlier send with the same key, so the
    key is compared instead of the request id.
    """
    start, _, end = body.rpartition(_DIGEST)
    if end != xxhash.xxh64_hexdigest(start).encode() + b'"}':
        return "not whole"
    answer = json.loads(body)
    if key:
        if answer["key"] != key:
            return f"expected the answer to key {key}, got {answer['key']}"
    elif answer["request_id"] != request_id:
        return f"expected the answer to {request_id}, got {answer['request_id']}"
    return None
