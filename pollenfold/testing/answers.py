"""Answers of the fake backend server, and the check that a caller makes of them."""

from __future__ import annotations

import json
from typing import Any

import xxhash


def encode_answer(fields: dict[str, Any], n_bytes: int = 0) -> bytes:
    """Return the fields as JSON with a digest, padded to at least ``n_bytes``."""
    plain = json.dumps(fields, sort_keys=True)
    padding = "x" * max(0, n_bytes - len(plain))
    digest = xxhash.xxh64_hexdigest((plain + padding).encode())
    return json.dumps({**fields, "padding": padding, "digest": digest}).encode()


def check_answer(body: bytes, request_id: str = "", key: str = "") -> str | None:
    """Return what is wrong with an answer, or None for the caller's own whole one.

    With a key the answer may come from an earlier send with the same key, so the
    key is compared instead of the request id.
    """
    try:
        answer = json.loads(body)
        digest = answer.pop("digest")
        padding = answer.pop("padding")
    except (ValueError, KeyError, AttributeError, TypeError):
        return "not whole"
    plain = json.dumps(answer, sort_keys=True)
    if xxhash.xxh64_hexdigest((plain + padding).encode()) != digest:
        return "not whole"
    if key:
        if answer["key"] != key:
            return f"expected the answer to key {key}, got {answer['key']}"
    elif answer["request_id"] != request_id:
        return f"expected the answer to {request_id}, got {answer['request_id']}"
    return None
