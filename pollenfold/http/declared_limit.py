"""Parses the limit on requests per second that a backend server declares."""

from __future__ import annotations

import re

MAX_LENGTH = 32

_DECIMAL = re.compile(rb"\d+(\.\d*)?|\.\d+")


def parse_declared_limit(value: bytes) -> float | None:
    """Return the declared requests per second, or None if the value is malformed.

    Only plain decimal numbers are valid: no sign, no exponent, at most ``MAX_LENGTH``
    bytes. For example, ``2.5`` and ``0`` are limits, ``-1``, ``1e3``, ``inf`` and an
    empty value aren't.
    """
    if len(value) > MAX_LENGTH or _DECIMAL.fullmatch(value) is None:
        return None
    return float(value)
