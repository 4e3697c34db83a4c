"""Steps of features/announcements.feature: announcements on the platform port."""

import json
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from pollenfold.core.clock import ManualClock
from pollenfold.core.membership import EndpointTable, LeaveNotice
from pollenfold.entry.announcements import AnnouncementHandler
from pollenfold.entry.gossip import PushResult
from pollenfold.http.messages import Request

scenarios(str(Path(__file__).parent.parent / "features" / "announcements.feature"))

BODY = {
    "service": "pearl-market",
    "host": "10.0.0.1",
    "port": 8080,
    "zone": "a",
    "incarnation": 5,
    "heartbeat": 1,
    "ttl_ms": 5000,
    "slots": 6,
    "connections": 260,
    "state": "serving",
}


class Entry:
    """A handler with its table and records of its pushes and leave notices.

    In each push, 17 of 18 peers acknowledge.
    """

    def __init__(self, service, run):
        self.table = EndpointTable()
        self.pushes = []
        self.notices = []
        self.run = run
        self.status = None
        self.response_body = None
        self.handler = AnnouncementHandler(
            self.table,
            ManualClock(),
            lambda name: name == service,
            self.push,
            self.notices.append,
        )

    async def push(self, endpoints):
        self.pushes.append(endpoints)
        return PushResult(18, 17)

    def post(self, body, method=b"POST", target=b"/v1/announcements"):
        request = Request(method, target, [], body)
        response = self.run(self.handler.handle, request)
        self.status = response.status
        self.response_body = json.loads(response.body)

    def announce(self, **fields):
        self.post(json.dumps({**BODY, **fields}).encode())


@given(
    parsers.parse('an entry that knows the service "{service}"'), target_fixture="entry"
)
def make_entry(service, run):
    return Entry(service, run)


ANNOUNCEMENT = 'incarnation {incarnation:d}, heartbeat {heartbeat:d}, "{state}"'


@given(parsers.parse("the server announced " + ANNOUNCEMENT))
@when(parsers.parse("the server announces " + ANNOUNCEMENT))
def announce(entry, incarnation, heartbeat, state):
    entry.announce(incarnation=incarnation, heartbeat=heartbeat, state=state)


@when(parsers.re(r"the server posts (?P<body>.+)"))
def post(entry, body):
    if " = " in body:
        name, value = body.split(" = ")
        entry.announce(**{name: json.loads(value)})
    elif body == "a deeply nested array":
        entry.post(b"[" * 100_000)
    elif body == "bytes that are not UTF-8":
        entry.post(b'{"service": "\xff\xfe"}')
    else:
        entry.post(body.encode())


@then(parsers.re(r'the response is (?P<status>\d+) with reason "(?P<reason>.*)"'))
def check_reason(entry, status, reason):
    assert (entry.status, entry.response_body["reason"]) == (int(status), reason)
    assert entry.response_body["accepted"] is not bool(reason)


@then(parsers.re(r'the response is (?P<status>\d+) with error "(?P<error>.*)"'))
def check_error(entry, status, error):
    assert (entry.status, entry.response_body["error"]) == (int(status), error)
    assert entry.response_body["detail"]


@then(parsers.re(r"(?P<n_serving>\d+) endpoints? serves?"))
def check_serving(entry, n_serving):
    assert len(entry.table.endpoints("pearl-market")) == int(n_serving)


@then(parsers.re(r"the peers received (?P<n_pushes>\d+) push(es)?"))
def check_pushes(entry, n_pushes):
    assert len(entry.pushes) == int(n_pushes)


@then(parsers.parse("a leave notice for incarnation {incarnation:d} was sent"))
def check_notice(entry, incarnation):
    assert entry.notices == [LeaveNotice("pearl-market", "10.0.0.1", 8080, incarnation)]
    assert entry.response_body["n_peers"] == 18
    assert entry.response_body["is_acknowledged"] is False


def test_renewals_need_no_message(run):
    """Guards against a push to all entries for every heartbeat."""
    entry = Entry("pearl-market", run)
    for heartbeat in range(1, 20):
        entry.announce(heartbeat=heartbeat)
    assert len(entry.pushes) == 1


@pytest.mark.parametrize(
    "method, target, status",
    [(b"GET", b"/v1/announcements", 400), (b"POST", b"/v1/other", 404)],
)
def test_other_requests_are_refused(run, method, target, status):
    """Guards against announcements accepted with another method or path."""
    entry = Entry("pearl-market", run)
    entry.post(json.dumps(BODY).encode(), method, target)
    assert entry.status == status
    assert len(entry.table) == 0
