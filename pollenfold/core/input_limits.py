"""Limits on what other processes may state, and checks of single values.

They apply at each border: the platform's documents, messages between own processes and
state read from disk. A value that one of them accepts must be usable by all, since it
is passed on: an unusable value would end a process, or a feed, far from its origin.
"""

from __future__ import annotations

from ipaddress import ip_address
from typing import TypeGuard

MAX_ID_LENGTH = 128
"""In characters; an id stands in paths, header values and log lines."""

MAX_NAME_LENGTH = 128
"""In characters, of a service, zone or entry."""

MAX_TARGET_LENGTH = 4_096
MAX_PORT = 65_535
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000
MAX_ENTRIES = 100_000
MAX_WHOLE_NUMBER = (1 << 53) - 1
"""The largest of the whole numbers that all JSON decoders read exactly."""

MIN_TTL_MS = 1_000.0
MAX_TTL_MS = 600_000.0
MAX_WARMUP_MS = 24 * 3_600_000.0
MAX_ADDRESS_LENGTH = 64
"""In characters, of an address with its port. An IPv6 address has up to 45."""


def is_endpoint_id(value: object) -> TypeGuard[str]:
    """Return whether a value is an id in visible ASCII characters, without spaces."""
    return (
        isinstance(value, str)
        and 1 <= len(value) <= MAX_ID_LENGTH
        and value.isascii()
        and value.isprintable()
        and " " not in value
    )


def is_name(value: object) -> TypeGuard[str]:
    """Return whether a value is a printable text, which UTF-8 can encode."""
    return (
        isinstance(value, str)
        and 1 <= len(value) <= MAX_NAME_LENGTH
        and value.isprintable()
    )


def is_encodable(text: str) -> bool:
    """Return whether UTF-8 can encode a text: whether it has no lone surrogate."""
    return text.isascii() or not any("\ud800" <= c <= "\udfff" for c in text)


def is_request_target(text: str) -> bool:
    """Return whether a text can stand in a request line: no space, ASCII only."""
    return (
        1 <= len(text) <= MAX_TARGET_LENGTH
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )


def is_whole_number(
    value: object, maximum: int = MAX_WHOLE_NUMBER, minimum: int = 0
) -> TypeGuard[int]:
    """Return whether a value is a whole number in a range; booleans are none."""
    return type(value) is int and minimum <= value <= maximum


def is_magnitude(
    value: object, maximum: float = MAX_WHOLE_NUMBER
) -> TypeGuard[int | float]:
    """Return whether a value is a number from 0 to the maximum; booleans are none."""
    return type(value) in (int, float) and 0 <= value <= maximum  # type: ignore[operator]


def is_port(value: object) -> TypeGuard[int]:
    """Return whether a value is a TCP port that can be connected to."""
    return is_whole_number(value, MAX_PORT, 1)


def normalized_ip_address(text: str) -> str | None:
    """Return an IP address in its usual form, or None for any other text.

    A host name is none: its resolution would block the event loop. Neither is an IPv6
    address with a scope, whose length isn't limited.
    """
    if len(text) > MAX_ADDRESS_LENGTH or "%" in text:
        return None
    try:
        return str(ip_address(text))
    except ValueError:
        return None


def is_ip_address(value: object) -> TypeGuard[str]:
    """Return whether a value is an IP address in its usual form."""
    return isinstance(value, str) and normalized_ip_address(value) == value


def parse_address(text: str) -> tuple[str, int] | None:
    """Return host and port of ``10.0.0.1:80`` or ``[fd00::1]:80``, else None."""
    if len(text) > MAX_ADDRESS_LENGTH:
        return None
    host_text, _, digits = text.rpartition(":")
    # Digits of other scripts are decimal digits for int() too.
    if not digits.isascii() or not digits.isdigit() or not is_port(int(digits)):
        return None
    host = normalized_ip_address(host_text.removeprefix("[").removesuffix("]"))
    return None if host is None else (host, int(digits))
