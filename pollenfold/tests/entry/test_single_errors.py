"""Loops of an entry of the own interface beside malformed data of one peer."""

from types import SimpleNamespace

import pytest

from pollenfold.core.membership import EndpointTable
from pollenfold.entry.daemon import Entry


@pytest.mark.parametrize(
    "name", ["nowhere", "10.0.0.1:", "10.0.0.1:eighty", "10.0.0.1:99999", "\ud7ff:١"]
)
def test_malformed_leave_notice_is_skipped(name):
    """Guards against a notice with which one peer ends all entries: it raised in the
    task that refreshes the endpoints, whose end stops the process."""
    whole = SimpleNamespace(endpoint="10.0.0.1:80", service="s", incarnation=1)
    malformed = SimpleNamespace(endpoint=name, service="s", incarnation=1)
    applied = []
    table = EndpointTable()
    table.apply_leave_notice = lambda notice, now: applied.append(notice)
    notices = [SimpleNamespace(notice=notice) for notice in (malformed, whole)]
    entry = SimpleNamespace(
        table=table, configuration=SimpleNamespace(leave_notices=lambda: notices)
    )
    Entry._apply_leave_notices(entry)
    assert [(notice.host, notice.port) for notice in applied] == [("10.0.0.1", 80)]
