"""Counting and logging of malformed items."""

from pollenfold.core.clock import Instant
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.observe.malformed import LOG_INTERVAL_MS, MalformedItems


def test_each_malformed_item_is_counted_and_few_are_logged():
    """Guards against a malformed item that is skipped without a trace, and against one
    that is repeated in each line of a feed and fills the log."""
    now, lines = 0.0, []
    log = EventLog(
        "p", lambda: Instant(now), lambda data: lines.append(data) or len(data)
    )
    malformed = MalformedItems(lambda: Instant(now), log)
    for second in range(10):
        now = second * 1000.0
        assert malformed.decode_each("ports", ["1", "x", "2"], int) == [1, 2]
        assert malformed.decode_each("names", 7, str) == []
    metrics = Metrics()
    malformed.export(metrics)
    assert metrics.get("malformed_items_total", kind="ports") == 10
    assert metrics.get("malformed_items_total", kind="names") == 10
    log.flush()
    text = b"".join(lines).decode()
    assert text.count("event=malformed_item kind=ports") == 10_000 / LOG_INTERVAL_MS
    assert "invalid literal" in text
