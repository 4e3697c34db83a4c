"""What a backend server says of itself in its answers, whatever they answer."""

from __future__ import annotations

import random

from ..http.messages import Response, find_header
from ..http.retry_after import parse_rest_ms, spread_rest_ms
from .dialect import Dialect
from .view import Endpoint, FleetView

LEAVING = b"1"


def take_notices(
    endpoint: Endpoint,
    response: Response,
    dialect: Dialect,
    view: FleetView,
    rng: random.Random,
) -> None:
    """Let an answer say that its endpoint leaves, or wants nothing for a while.

    An answer of another instance at the address says nothing of this endpoint.
    """
    if response.status == 421:
        return
    headers = response.headers
    if find_header(headers, dialect.leaving) == LEAVING:
        view.mark_leaving(endpoint)
    value = find_header(headers, b"retry-after")
    if response.status != 503 or value is None:
        return
    rest_ms = parse_rest_ms(value, find_header(headers, b"date"))
    if rest_ms is not None:
        view.mark_resting(endpoint, spread_rest_ms(rest_ms, rng.random()))
