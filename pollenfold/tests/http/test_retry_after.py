"""How long a server wants nothing: values as they may come."""

import pytest

from pollenfold.http.retry_after import MAX_REST_MS, parse_rest_ms, spread_rest_ms

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
        (b"99999999999", MAX_REST_MS),
        (b"Wed, 21 Oct 2199 07:28:00 GMT", MAX_REST_MS),
    ],
)
def test_time_is_read_or_ignored(value, expected_ms):
    """Guards against an unreadable or enormous value that ends the handler or takes
    a server out for ever."""
    assert parse_rest_ms(value, DATE) == expected_ms


def test_date_needs_the_date_of_the_answer():
    """Guards against a rest that depends on the difference of two clocks."""
    assert parse_rest_ms(b"Wed, 21 Oct 2026 07:28:05 GMT", None) is None


def test_entries_that_were_turned_away_together_come_back_apart():
    """Guards against a second overload at the end of the rest."""
    returns = [spread_rest_ms(2_000.0, position / 15) for position in range(16)]
    assert min(returns) >= 2_000.0
    assert max(returns) - min(returns) >= 150.0
