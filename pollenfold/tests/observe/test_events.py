"""Log lines and metrics of a process."""

from pollenfold.core.clock import ManualClock
from pollenfold.observe.events import MAX_BUFFER_BYTES, EventLog, format_value
from pollenfold.observe.exposition import OTHER, BoundedLabel, Metrics


def make_log(write):
    return EventLog("e1", ManualClock(1_000.0), write=write)


def test_line_holds_its_fields():
    """Guards against log lines that can't be parsed into fields."""
    written = []
    log = make_log(lambda data: written.append(data) or len(data))
    log.state("zones_out", zones="a b", index=7, share=0.25)
    log.flush()
    line = b"".join(written).decode()
    assert line.endswith('process=e1 event=zones_out zones="a b" index=7 share=0.2\n')
    assert line.startswith("time=")


def test_value_with_a_line_break_stays_on_its_line():
    """Guards against log injection by values from a request."""
    assert "\n" not in format_value("x\nevent=forged")
    assert format_value("") == '""'


def test_lines_are_bounded_and_the_dropped_ones_counted():
    """Guards against logging that uses up the CPU under load."""
    clock = ManualClock(1_000.0)
    log = EventLog("e1", clock, write=len)
    for number in range(5_000):
        log.request("request_done", False, request=number)
    assert log.n_dropped > 4_000
    log.request("request_done", True, request="failed")
    assert log._buffer.count(b"request=failed") == 1
    assert b"event=log_lines_dropped" in log._buffer


def test_unread_output_blocks_nothing_and_memory_is_bounded():
    """Guards against an output pipe without a reader that blocks the event loop."""
    clock = ManualClock(1_000.0)
    log = EventLog("e1", clock, write=lambda data: 0)
    for _ in range(20_000):
        clock.advance(50.0)
        log.state("something", detail="x" * 100)
    log.flush()
    assert len(log._buffer) < MAX_BUFFER_BYTES + 1_000
    assert log.n_dropped > 0


def test_closed_output_drops_the_lines():
    """Guards against a process that fails because its log output is closed."""

    def write(data):
        raise BrokenPipeError

    log = make_log(write)
    log.state("started")
    log.flush()
    assert (len(log._buffer), log.n_dropped) == (0, 1)


def test_metrics_follow_the_prometheus_text_format():
    """Guards against histogram buckets that aren't cumulative."""
    metrics = Metrics()
    metrics.count("requests_total", route='r"1', status="200")
    metrics.count("requests_total", route='r"1', status="200")
    for value_ms in (0.5, 1.0, 7.0, 9_999.0):
        metrics.observe("request_ms", value_ms, route="r1")
    lines = metrics.render().splitlines()
    assert 'pollenfold_requests_total{route="r\\"1",status="200"} 2' in lines
    assert 'pollenfold_request_ms_bucket{route="r1",le="1"} 2' in lines
    assert 'pollenfold_request_ms_bucket{route="r1",le="10"} 3' in lines
    assert 'pollenfold_request_ms_bucket{route="r1",le="+Inf"} 4' in lines
    assert 'pollenfold_request_ms_count{route="r1"} 4' in lines


def test_series_of_a_label_are_bounded():
    """Guards against a metrics page, rendered in one step on the only loop, and memory
    that grow with each route that ever had a request."""
    label = BoundedLabel(2)
    assert [label.get(value) for value in "abcab"] == ["a", "b", OTHER, "a", "b"]
    assert label.get("c") == OTHER
