"""The headers of callers and backend servers on the platform."""

from __future__ import annotations

from ..core.balancing.selection import ServerLoad
from ..gateway.dialect import Dialect
from ..http.messages import Response, find_header

SIGNATURE = b"x-response-signature"
REQUEST_ID = b"x-request-id"
API_KEY = b"x-credential"


def parse_load(value: bytes) -> ServerLoad | None:
    """Parse running, waiting, slots and an optional slowdown in percent."""
    try:
        fields = [int(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(fields) < 3 or min(fields) < 0:
        return None
    slowdown = fields[3] / 100 if len(fields) > 3 else 1.0
    return ServerLoad(fields[0], fields[1], fields[2], slowdown)


def is_genuine(response: Response) -> bool:
    """Return whether a response is the complete response of the backend server.

    A success always carries the server's signature and no content encoding.
    """
    if not 200 <= response.status < 300:
        return True
    headers = response.headers
    if find_header(headers, SIGNATURE) is None:
        return False
    return find_header(headers, b"content-encoding") is None


DIALECT = Dialect(
    request_id=REQUEST_ID,
    deadline_ms=b"x-deadline-ms",
    expected_instance=b"x-expected-instance",
    not_executed=b"x-not-executed",
    server_load=b"x-server-load",
    instance=b"x-instance-id",
    warmup_left_ms=b"x-warmup-remaining-ms",
    leaving=b"server-leaving",
    declared_limit=b"server-limit",
    credentials=(b"authorization", API_KEY),
    api_key=API_KEY,
    tenant=b"x-tenant-id",
    parse_load=parse_load,
    is_genuine=is_genuine,
)
