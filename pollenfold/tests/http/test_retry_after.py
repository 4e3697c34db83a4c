"""Valid, invalid and extreme values of Retry-After."""

import pytest

from pollenfold.http.retry_after import (
    MAX_BACKOFF_MS,
    parse_backoff_ms,
    spread_backoff_ms,
)

DATE = b"Wed, 21 Oct 2026 07:28:00 GMT"


@pytest.mark.parametrize(
    ("value", "expected_ms"),
    [
        (b"2", 2_000.0),
        (b"0.25", 250.0),
        (b" 3 ", 3_000.0),
        (b"Wed, 21 Oct 2026 07:28:05 GMT", 5_000.0),
        (b"Wed, 21 Oct 2026 07:27:00 GMT", None),
        (b"0", None),
        (b"-5", None),
        (b"nan", None),
        (b"inf", None),
        (b"soon", None),
        (b"", None),
        (b"\xff\xfe", None),
        (b"1" * 5_000, None),
        (b"99999999999", MAX_BACKOFF_MS),
        (b"Wed, 21 Oct 2199 07:28:00 GMT", MAX_BACKOFF_MS),
    ],
)
def test_value_is_parsed_or_ignored(value, expected_ms):
    """Guards against an invalid value that raises, and a huge one that excludes the
    server forever."""
    assert parse_backoff_ms(value, DATE) == expected_ms


def test_date_value_requires_the_date_header():
    """Guards against a back-off that depends on the skew between two clocks."""
    assert parse_backoff_ms(b"Wed, 21 Oct 2026 07:28:05 GMT", None) is None


def test_backoffs_of_entries_refused_together_are_spread():
    """Guards against a second overload when all entries retry after the back-off."""
    backoffs_ms = [spread_backoff_ms(2_000.0, position / 15) for position in range(16)]
    assert min(backoffs_ms) >= 2_000.0
    assert max(backoffs_ms) - min(backoffs_ms) >= 150.0
