"""Tests of the measurement budget and the parsing of load reports."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.clock import Instant
from pollenfold.core.measurement import (
    MAX_PROBE_BYTES,
    LoadReport,
    MeasurementBudget,
    parse_load_body,
    parse_load_header,
)
from pollenfold.testing.endpoints import make_service

NOW = Instant(0.0)
MAX_ENTRIES = 19


def at(ms):
    return Instant(float(ms))


def probe_until_exhausted(budget, n_seconds, step_ms, n_bytes):
    """Probe as often as the budget allows; return the numbers of probes and bytes."""
    n_probes = 0
    for step in range(int(n_seconds * 1000 / step_ms)):
        now = at(step * step_ms)
        while budget.try_probe(now):
            n_probes += 1
            budget.finish_probe(n_bytes, now)
    return n_probes, n_probes * n_bytes


@pytest.mark.parametrize("n_bytes", [100, MAX_PROBE_BYTES, 5 * MAX_PROBE_BYTES])
@pytest.mark.parametrize("probes_per_s, bytes_per_s", [(38, 1e9), (1e6, 40_000)])
def test_fleet_stays_within_the_budget(probes_per_s, bytes_per_s, n_bytes):
    """Guards against probes of the maximum number of entries that together exceed the
    budget, also right after their start, and for any length of the responses."""
    spec = make_service(probes_per_s=probes_per_s, probe_bytes_per_s=bytes_per_s)
    n_seconds = 30
    n_probes = n_probe_bytes = 0
    for _ in range(MAX_ENTRIES):
        budget = MeasurementBudget(spec, MAX_ENTRIES, NOW)
        probes, used = probe_until_exhausted(budget, n_seconds, 10, n_bytes)
        n_probes += probes
        n_probe_bytes += used
    assert 0 < n_probes <= probes_per_s * n_seconds
    # A response longer than reserved overdraws the bucket of each entry once.
    overdraft = MAX_ENTRIES * max(0, n_bytes - MAX_PROBE_BYTES)
    assert n_probe_bytes <= bytes_per_s * n_seconds + overdraft


def test_reports_on_responses_are_charged():
    """Guards against reports on responses that aren't charged to the budget."""
    spec = make_service(probe_bytes_per_s=MAX_PROBE_BYTES * 4.0, probes_per_s=100.0)
    budget = MeasurementBudget(spec, 1, NOW)
    assert budget.try_request_report(at(900))
    for _ in range(200):
        budget.count_report(40, False, at(900))
    assert not budget.try_probe(at(1500))
    assert not budget.try_request_report(at(1500))
    assert budget.try_probe(at(4000))


def test_requested_reports_stop_at_the_budget():
    """Guards against requesting a report on each of thousands of calls per second."""
    spec = make_service(probe_bytes_per_s=10_000.0)
    budget = MeasurementBudget(spec, 1, NOW)
    n_requested = 0
    for call in range(50_000):
        now = at(call / 10)
        if budget.try_request_report(now):
            budget.count_report(40, True, now)
            n_requested += 1
    assert 0 < n_requested * 64 <= 10_000 * 5
    assert budget.try_probe(at(5000))


REPORT = LoadReport(3, 6, False, NOW)
COLD_REPORT = LoadReport(3, 6, True, NOW)
HEADERS = [
    (b"in_flight=3;slots=6;cold=0", REPORT),
    (b"slots=6; in_flight=3; cold=1", COLD_REPORT),
    (b"in_flight=3;slots=6;queue=9", REPORT),
    (b"", None),
    (b"in_flight=3", None),
    (b"in_flight=-3;slots=6;cold=0", None),
    (b"in_flight=3;slots=0;cold=0", None),
    (b"in_flight=3;slots=6;cold=2", None),
    (b"in_flight=3;in_flight=0;slots=6", None),
    (b"in_flight=99999999999;slots=6", None),
    ("in_flight=\u0663;slots=6".encode(), None),
    (b"in_flight=3;slots=6;" + b"x" * 1000, None),
]


BODIES = [
    (b'{"in_flight": 3, "slots": 6, "cold": true}', COLD_REPORT),
    (b'{"in_flight": 3, "slots": 6, "more": 1}', REPORT),
    (b'{"in_flight": true, "slots": 6}', None),
    (b'{"in_flight": 1e400, "slots": 6}', None),
    (b'{"in_flight": NaN, "slots": 6}', None),
    (b'{"in_flight": 3, "slots": 6, "cold": "no"}', None),
    (b"[" * 500, None),
    (b"[]", None),
    (b"\xff", None),
    (b'{"in_flight": 3, "slots": 6}' + b" " * 600, None),
]


@pytest.mark.parametrize(
    "parse, data, expected",
    [(parse_load_header, *row) for row in HEADERS]
    + [(parse_load_body, *row) for row in BODIES],
)
def test_parsed_reports(parse, data, expected):
    """Guards against a malformed report that raises or is accepted as valid."""
    assert parse(data, NOW) == expected


@given(st.binary(max_size=600))
def test_no_report_raises(data):
    """Guards against an entry that crashes on arbitrary bytes of a backend server."""
    parse_load_header(data, NOW)
    parse_load_body(data, NOW)
