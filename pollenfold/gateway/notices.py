"""Notices in the headers of backend servers: leaving, back-off, declared limit."""

from __future__ import annotations

import random

from ..core.clock import Instant
from ..http.declared_limit import parse_declared_limit
from ..http.messages import Response, find_header
from ..http.retry_after import parse_backoff_ms, spread_backoff_ms
from .dialect import Dialect
from .endpoint import Endpoint
from .view import FleetView

LEAVING = b"1"


def notices_of(response: Response, dialect: Dialect) -> Response:
    """Return the status of a response and the headers that concern its endpoint.

    It holds neither the body nor the memory that is reserved for it.
    """
    names = (dialect.leaving, dialect.declared_limit, b"retry-after", b"date")
    headers = [pair for pair in response.headers if pair[0] in names]
    return Response(response.status, headers)


def apply_response_notices(
    endpoint: Endpoint,
    response: Response,
    dialect: Dialect,
    view: FleetView,
    rng: random.Random,
    is_success: bool,
    asked_at: Instant,
) -> None:
    """Apply what a response says of its endpoint in its headers.

    A response of another instance at the address (status 421) is ignored. Only a
    success, as ``is_success`` tells, ends a declared limit by not repeating it: a
    failure may be made before the server adds its headers. ``asked_at`` is when the
    request or probe was sent.
    """
    if response.status == 421:
        return
    headers = response.headers
    if find_header(headers, dialect.leaving) == LEAVING:
        view.mark_leaving(endpoint)
    limit = find_header(headers, dialect.declared_limit)
    if limit is not None:
        _apply_declared_limit(endpoint, limit, view, asked_at)
    elif is_success:
        view.limits.end(endpoint, asked_at)
    retry_after = find_header(headers, b"retry-after")
    if response.status != 503 or retry_after is None:
        return
    backoff_ms = parse_backoff_ms(retry_after, find_header(headers, b"date"))
    if backoff_ms is not None:
        view.start_backoff(endpoint, spread_backoff_ms(backoff_ms, rng.random()))


def _apply_declared_limit(
    endpoint: Endpoint, value: bytes, view: FleetView, asked_at: Instant
) -> None:
    limit_per_s = parse_declared_limit(value)
    if limit_per_s is None:
        view.limits.reject(endpoint, value)
    else:
        view.limits.declare(endpoint, limit_per_s, asked_at)
