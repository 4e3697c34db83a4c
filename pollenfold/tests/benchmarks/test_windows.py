"""Tests that the figures of a time window count each call once and name failures."""

from benchmarks.load import CallKind, Outcome
from benchmarks.windows import Window, hurt_line, window, window_lines

GET = CallKind("idempotent", "GET", "/status", 0.9)
POST = CallKind("with_key", "POST", "/orders", 0.1)


def outcome(state, due, latency_ms=10.0, kind=GET):
    return Outcome(kind, "r", "", ("127.0.0.1", 1), state, due, latency_ms)


def test_window_includes_only_calls_of_its_class_and_time():
    """Guards against a window with calls of adjacent windows or other classes."""
    calls = [outcome("whole", due) for due in (0, 99, 100, 200)]
    calls.append(outcome("whole", 150, kind=POST))
    assert window(calls, from_ms=100, to_ms=200).n_sent == 1
    assert window(calls, to_ms=100).n_sent == 2


def test_lines_show_failures_and_slow_requests():
    """Guards against refused requests that are missing from the figures."""
    steady = Window(4, 4, latencies_ms=[10.0] * 4)
    calls = [outcome("whole", 1), outcome("whole", 2, 31), outcome("did_not_run", 3)]
    phase = window([*calls, outcome("unknown", 4)])
    lines = list(window_lines("phase", phase, steady))
    assert "not_whole=2 sent=4 steady=0 did_not_run=1 unknown=1" in lines[1]
    assert "hurt_share=0.7500 steady=0.0000" in hurt_line("phase", phase, steady)
