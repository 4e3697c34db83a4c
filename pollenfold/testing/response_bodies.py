"""Response bodies of the fake backend server, and their validation by callers."""

from __future__ import annotations

import json
from typing import Any

import xxhash

_DIGEST_FIELD = b', "digest": "'


def encode_response_body(fields: dict[str, Any], n_bytes: int = 0) -> bytes:
    """Encode the fields as JSON whose last field is a digest of all bytes before it.

    A ``padding`` field is added if the JSON without the digest would be shorter than
    ``n_bytes``.
    """
    encoded = json.dumps(fields)
    if len(encoded) < n_bytes:
        encoded = json.dumps({**fields, "padding": "x" * (n_bytes - len(encoded))})
    prefix = encoded[:-1].encode()
    return prefix + _DIGEST_FIELD + xxhash.xxh64_hexdigest(prefix).encode() + b'"}'


def check_response_body(body: bytes, request_id: str = "", key: str = "") -> str | None:
    """Return why a response body is invalid, or None if it is complete and matches.

    A request with an idempotency key may get the response to an earlier attempt, so
    then the key is compared instead of the request id.
    """
    prefix, _, suffix = body.rpartition(_DIGEST_FIELD)
    if suffix != xxhash.xxh64_hexdigest(prefix).encode() + b'"}':
        return "not whole"
    fields = json.loads(body)
    if key:
        if fields["key"] != key:
            return f"expected the response to key {key}, got {fields['key']}"
    elif fields["request_id"] != request_id:
        return f"expected the response to {request_id}, got {fields['request_id']}"
    return None
