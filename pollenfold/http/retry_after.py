"""How long a backend server wants nothing after it turned a request away.

An overloaded server may say when to come back. Work that is sent sooner only adds to
its load, questions for its load as well. A value that can't be read asks for nothing,
and one past a bound doesn't take the server out for ever.
"""

from __future__ import annotations

import math

MAX_REST_MS = 60_000.0
REST_SPREAD = 0.1
"""The share by which a rest is lengthened at most, so that not all entries that were
turned away at one moment come back at one moment."""

MAX_SECONDS_LENGTH = 32
DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"


def parse_rest_ms(value: bytes, date: bytes | None) -> float | None:
    """Return the ms that a Retry-After header asks for, or None for no time.

    ``value`` holds seconds, with or without a fraction, or a date. A date counts from
    ``date``, the one of the same answer, since clocks differ. For example, ``1.5``
    gives 1500, and ``-1`` or ``soon`` None.
    """
    seconds = _seconds(value)
    if seconds is None and date is not None:
        until, sent_at = _unix_s(value), _unix_s(date)
        if until is not None and sent_at is not None:
            seconds = until - sent_at
    if seconds is None or seconds <= 0.0:
        return None
    return min(1000.0 * seconds, MAX_REST_MS)


def spread_rest_ms(rest_ms: float, position: float) -> float:
    """Return when to come back; ``position`` between 0 and 1 spreads the entries."""
    return rest_ms * (1.0 + REST_SPREAD * position)


def _seconds(value: bytes) -> float | None:
    if len(value) > MAX_SECONDS_LENGTH:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _unix_s(value: bytes) -> float | None:
    # Only loaded by a date, which servers seldom send: entries have little memory.
    import calendar
    import time

    try:
        parsed = time.strptime(value.decode("ascii"), DATE_FORMAT)
    except ValueError:
        return None
    return float(calendar.timegm(parsed))
