"""Notices in the response headers of backend servers: leaving and back-off."""

from __future__ import annotations

import random

from ..http.messages import Response, find_header
from ..http.retry_after import parse_backoff_ms, spread_backoff_ms
from .dialect import Dialect
from .view import Endpoint, FleetView

LEAVING = b"1"


def apply_response_notices(
    endpoint: Endpoint,
    response: Response,
    dialect: Dialect,
    view: FleetView,
    rng: random.Random,
) -> None:
    """Apply the leaving and Retry-After headers of a response to its endpoint.

    A response of another instance at the address (status 421) is ignored.
    """
    if response.status == 421:
        return
    headers = response.headers
    if find_header(headers, dialect.leaving) == LEAVING:
        view.mark_leaving(endpoint)
    retry_after = find_header(headers, b"retry-after")
    if response.status != 503 or retry_after is None:
        return
    backoff_ms = parse_backoff_ms(retry_after, find_header(headers, b"date"))
    if backoff_ms is not None:
        view.start_backoff(endpoint, spread_backoff_ms(backoff_ms, rng.random()))
