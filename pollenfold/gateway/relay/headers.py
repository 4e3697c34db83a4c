"""The headers that two entries exchange with a relayed request and its response.

They are trusted only on connections between entries. What a caller or a backend server
sends under these names is dropped.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from ...http.messages import Headers, Response, find_header

RELAY_REQUEST = b"pollenfold-relay-request"
RELAY_RESPONSE = b"pollenfold-relay-response"
RELAY_HEADERS = frozenset((RELAY_REQUEST, RELAY_RESPONSE))

MAX_VALUE_BYTES = 4_096
"""Two names of 128 characters outside of ASCII take up to 3 KB of JSON."""

MAX_NAME_CHARS = 200
MAX_NOTICES = 8
MAX_NOTICE_CHARS = 100
"""Header names and values of an endpoint's notice that are longer are left out."""

MAX_PROBES = 8
"""How many probes a passing entry may leave to a peer with one request."""


@dataclass(frozen=True, slots=True)
class RelayedRequest:
    """What the passing entry says of a request.

    ``version`` is the configuration by which it was routed to the ``service``, and
    ``is_idempotent`` what that says of its route.
    ``target_ms`` is the time left until the latency target, negative when it passed.
    ``max_attempts`` is the number of endpoints to which the request may still be sent.
    ``is_repeat`` is whether an endpoint may already have received it. Its request is
    then counted in the retry budget, and the send is a retry, which the peer counts
    unless ``is_retry_acquired``: the retries are counted where the requests are.
    ``is_counted`` is whether another peer may have counted the request in its budget.
    ``n_probes`` is how many of its own probes the passing entry leaves to the peer.
    ``tenant`` is the name of the tenant, empty for a request without one.
    """

    service: str
    target_ms: float
    max_attempts: int
    is_repeat: bool
    is_retry_acquired: bool
    version: int
    is_idempotent: bool
    is_counted: bool = False
    n_probes: int = 0
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class RelayNotice:
    """What the peer says of a response.

    ``is_from_endpoint`` is False for the peer's own refusals and errors. The endpoint
    and its start time are those of the last attempt; the id is empty without one.
    ``n_sends`` is the number of endpoints that got the request. ``is_reached`` is True
    if one responded to it, False if the peer is cut off itself, and else None.
    ``endpoint_notices`` has the status of a response that the peer didn't pass on, and
    the headers in which its endpoint said something of itself.
    """

    is_from_endpoint: bool
    endpoint_id: str
    born_ms: int
    n_sends: int
    n_in_flight: int
    is_reached: bool | None
    endpoint_notices: Response | None = None


def encode_relayed_request(request: RelayedRequest) -> bytes:
    """Return the value of the header of a request."""
    # Earlier versions know no tenants, and without tenants nothing changes for them.
    tenant = {"tenant": request.tenant} if request.tenant else {}
    return _encode(
        {
            "service": request.service,
            "target_ms": round(request.target_ms, 1),
            "max_attempts": request.max_attempts,
            "is_repeat": request.is_repeat,
            "is_retry_acquired": request.is_retry_acquired,
            "version": request.version,
            "is_idempotent": request.is_idempotent,
            "is_counted": request.is_counted,
            "n_probes": request.n_probes,
            **tenant,
        }
    )


def decode_relayed_request(headers: Headers) -> RelayedRequest | None:
    """Return what a peer says of its request, or None if that is malformed."""
    fields = _decode(headers, RELAY_REQUEST)
    service = fields.get("service")
    target_ms = fields.get("target_ms")
    max_attempts = fields.get("max_attempts")
    version = fields.get("version")
    flags = [
        fields.get(name)
        for name in ("is_repeat", "is_retry_acquired", "is_idempotent", "is_counted")
    ]
    n_probes = fields.get("n_probes", 0)
    tenant = fields.get("tenant", "")
    if (
        _is_name(service)
        and type(target_ms) in (int, float)
        and math.isfinite(target_ms)
        and _is_count(max_attempts)
        and all(type(flag) is bool for flag in flags)
        and _is_count(version)
        and _is_count(n_probes)
        and n_probes <= MAX_PROBES
        and (tenant == "" or _is_name(tenant))
    ):
        is_repeat, is_retry_acquired, is_idempotent, is_counted = flags
        return RelayedRequest(
            service,
            float(target_ms),
            max_attempts,
            is_repeat,
            is_retry_acquired,
            version,
            is_idempotent,
            is_counted,
            n_probes,
            tenant,
        )
    return None


def encode_relay_notice(notice: RelayNotice) -> bytes:
    """Return the value of the header of a response."""
    return _encode(
        {
            "is_from_endpoint": notice.is_from_endpoint,
            "endpoint": notice.endpoint_id,
            "born_ms": notice.born_ms,
            "n_sends": notice.n_sends,
            "n_in_flight": notice.n_in_flight,
            "is_reached": notice.is_reached,
            **_encode_endpoint_notices(notice.endpoint_notices),
        }
    )


def _encode_endpoint_notices(response: Response | None) -> dict[str, Any]:
    if response is None:
        return {}
    pairs = [
        [name.decode("latin-1"), value.decode("latin-1")]
        for name, value in response.headers
        if len(value) <= MAX_NOTICE_CHARS
    ]
    return {"status": response.status, "notices": pairs[:MAX_NOTICES]}


def _decode_endpoint_notices(fields: dict[str, Any]) -> Response | None:
    """Return the notices; None if there are none, as from earlier versions."""
    status, pairs = fields.get("status"), fields.get("notices")
    if not _is_count(status) or not isinstance(pairs, list):
        return None
    headers = []
    for pair in pairs[:MAX_NOTICES]:
        if not isinstance(pair, list) or len(pair) != 2:
            return None
        if not all(isinstance(t, str) and len(t) <= MAX_NOTICE_CHARS for t in pair):
            return None
        if not all(text.isascii() for text in pair):
            return None
        headers.append((pair[0].encode(), pair[1].encode()))
    return Response(status, headers)


def decode_relay_notice(headers: Headers) -> RelayNotice | None:
    """Return what a peer says of its response, or None if that is malformed."""
    fields = _decode(headers, RELAY_RESPONSE)
    is_from_endpoint = fields.get("is_from_endpoint")
    endpoint_id = fields.get("endpoint")
    counts = [fields.get(name) for name in ("born_ms", "n_sends", "n_in_flight")]
    is_reached = fields.get("is_reached")
    if (
        type(is_from_endpoint) is bool
        and (endpoint_id == "" or _is_name(endpoint_id))
        and all(_is_count(count) for count in counts)
        and (is_reached is None or type(is_reached) is bool)
    ):
        return RelayNotice(
            is_from_endpoint,
            endpoint_id,
            *counts,
            is_reached,
            _decode_endpoint_notices(fields),
        )
    return None


def without_relay_headers(headers: Headers) -> Headers:
    """Return the headers without those that are used between entries."""
    return [pair for pair in headers if pair[0] not in RELAY_HEADERS]


def _encode(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _decode(headers: Headers, name: bytes) -> dict[str, Any]:
    value = find_header(headers, name)
    if value is None or len(value) > MAX_VALUE_BYTES:
        return {}
    try:
        fields = json.loads(value)
    except (ValueError, RecursionError):
        return {}
    return fields if isinstance(fields, dict) else {}


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS


def _is_count(value: object) -> bool:
    return type(value) is int and 0 <= value < 1 << 53
