"""Parses the back-off that a backend server requests with Retry-After.

An overloaded server may announce when to retry. Requests and load probes that are sent
earlier only add to its load. An invalid value means no back-off, and long values are
bounded, so that a wrong one doesn't exclude the server for ever.
"""

from __future__ import annotations

import math

MAX_BACKOFF_MS = 60_000.0
BACKOFF_SPREAD = 0.1
"""The largest share by which a back-off is extended, so that entries refused at the
same moment don't all retry at the same moment."""

MAX_SECONDS_LENGTH = 32
DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"


def parse_backoff_ms(value: bytes, date: bytes | None) -> float | None:
    """Return the back-off in ms that a Retry-After header requests, or None.

    ``value`` holds seconds, with or without a fraction, or a date. A date is relative
    to ``date``, the Date header of the same response, since clocks differ. For example,
    ``1.5`` gives 1500, and ``-1`` or ``soon`` None.
    """
    seconds = _seconds(value)
    if seconds is None and date is not None:
        retry_at, sent_at = _unix_s(value), _unix_s(date)
        if retry_at is not None and sent_at is not None:
            seconds = retry_at - sent_at
    if seconds is None or seconds <= 0.0:
        return None
    return min(1000.0 * seconds, MAX_BACKOFF_MS)


def spread_backoff_ms(backoff_ms: float, position: float) -> float:
    """Return the extended back-off; ``position``, from 0 to 1, differs by entry."""
    return backoff_ms * (1.0 + BACKOFF_SPREAD * position)


def _seconds(value: bytes) -> float | None:
    if len(value) > MAX_SECONDS_LENGTH:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None


def _unix_s(value: bytes) -> float | None:
    # Imported only for dates, which servers seldom send, to save memory in entries.
    import calendar
    import time

    try:
        parsed = time.strptime(value.decode("ascii"), DATE_FORMAT)
    except ValueError:
        return None
    return float(calendar.timegm(parsed))
