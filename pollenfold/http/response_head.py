"""Which heads of responses are valid, for all readers of responses."""

from __future__ import annotations

import h11

MIN_STATUS = 100
MAX_STATUS = 599
MAX_DETAIL_CHARS = 200
"""How much of an error is logged: a parser's error quotes what the server sent."""


class InvalidResponseError(ConnectionError):
    """The server sent something that is no response in HTTP/1.

    The request may have been executed, and the connection carries no further one.
    """


def check_response_head(head: h11.Response) -> None:
    """Raise InvalidResponseError if the status or the version of a head is invalid.

    The parser accepts any three ASCII digits from 200 as the status of a final
    response, and any version of two digits.
    """
    if not MIN_STATUS <= head.status_code <= MAX_STATUS:
        raise InvalidResponseError(f"status {head.status_code}")
    if not head.http_version.startswith(b"1."):
        raise InvalidResponseError(f"version {head.http_version.decode('latin-1')}")


def describe_invalid_response(error: Exception | None) -> str:
    """Return what was invalid in a response, or "" if its connection only failed."""
    if isinstance(error, (InvalidResponseError, h11.RemoteProtocolError)):
        return str(error)[:MAX_DETAIL_CHARS]
    return ""
