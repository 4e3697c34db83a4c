"""What an entry counts of both versions, and what it reports to the control leader."""

import json

import curio
import pytest

from pollenfold.core.input_limits import is_whole_number
from pollenfold.core.rollouts.evidence import RouteCounts
from pollenfold.core.rollouts.reports import decode_report
from pollenfold.gateway.relay.headers import RelayedRequest
from pollenfold.gateway.rollouts.version_load import VersionLoads
from pollenfold.http.messages import Request
from pollenfold.http.request_reader import BODY_WINDOW_BYTES
from pollenfold.http.server import HttpServer
from pollenfold.tests.gateway.conftest import Backend, signed_response

from .stages import (
    FakeFeed,
    FakeFeeds,
    announce,
    backends_of,
    reporter_of,
    server_error,
    set_stage,
    wait_until,
)

REFUSAL = (
    b"HTTP/1.1 503 X\r\nx-not-executed: 1\r\nx-request-id: q1\r\n"
    b"content-length: 0\r\n\r\n"
)


def counts_of(path):
    rollout = path.view.replicated_state.rollouts["s"]
    return path.forwarder.version_outcomes.tally(rollout).encode()


def always_target(path):
    path.forwarder._versions._rng.random = lambda: 0.0


@pytest.mark.parametrize(
    ("respond", "delay_ms", "counts"),
    [
        (None, 0.0, [1, 0, 0]),
        (None, 250.0, [1, 0, 1]),
        (server_error, 0.0, [1, 1, 0]),
        (lambda request: None, 0.0, [1, 1, 0]),
        (lambda request: b"no response\r\n\r\n", 0.0, [1, 1, 0]),
        # Refused without execution: no evidence.
        (lambda request: REFUSAL, 0.0, None),
    ],
)
def test_outcome_is_counted_at_its_version(with_path, respond, delay_ms, counts):
    """Guards against a bad response that isn't reported, and against a refusal that
    counts as one. The work estimate of the route is 70 ms."""
    old, target = Backend("old"), Backend("new", respond=respond, delay_ms=delay_ms)

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "canary")
        always_target(path)
        await path.get()
        expected = {"r1": [len(old.requests), 0, 0, *counts]} if counts else None
        if expected is None:
            expected = {"r1": [1, 0, 0, 0, 0, 0]}
        assert counts_of(path) == expected

    with_path(body, old, target)


def test_expired_attempt_is_counted_as_failed(with_path):
    """Guards against a target that responds to nothing and is judged good."""
    old, target = Backend("old"), Backend("new", delay_ms=900.0)

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "canary")
        always_target(path)
        assert (await path.get(deadline=b"200")).status == 504
        assert counts_of(path) == {"r1": [0, 0, 0, 1, 1, 0]}

    with_path(body, old, target)


def test_abandoned_attempt_is_no_evidence(with_path):
    """Guards against callers that leave early and make a good version look bad."""
    old, target = Backend("old"), Backend("new", delay_ms=400.0)

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "canary")
        always_target(path)
        ours, theirs = curio.socket.socketpair()
        async with ours:
            task = await curio.spawn(path.get, b"GET", b"1500", b"", ours.fileno())
            await wait_until(lambda: target.requests)
            await theirs.close()
            assert await task.join() is None
        assert counts_of(path) == {}
        assert path.view.version_loads.n_in_flight("s", "v2") == (0, 0)

    with_path(body, old, target)


def test_attempts_of_a_cut_off_entry_are_no_evidence(with_path):
    """Guards against a good version that is rolled back because entries lost their
    links to the endpoints."""
    old, target = Backend("old"), Backend("new")

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "canary")
        always_target(path)

        def respond(request):
            path.monitor.reach.is_cut = True

        target.respond = respond
        assert (await path.get()).status == 502
        assert len(target.requests) == 1
        assert counts_of(path) == {}

    with_path(body, old, target)


def test_target_does_not_change_the_work_estimate(with_path):
    """Guards against a slow version that raises the time that it is compared with."""
    old, target = Backend("old"), Backend("new", delay_ms=150.0)

    async def body(path, *backends):
        announce(path, [old], [target])
        await path.get()
        estimate = path.forwarder._call_factory._work_estimates["r1"]
        before_ms = estimate.get()
        set_stage(path, "full")
        await path.get()
        assert estimate.get() == before_ms
        set_stage(path, "completed")
        await path.get()
        assert estimate.get() > before_ms

    with_path(body, old, target)


def test_counts_start_again_with_a_new_order(with_path):
    """Guards against evidence on an earlier version that counts for a later one."""
    old, target = Backend("old"), Backend("new")

    async def body(path, *backends):
        announce(path, [old], [target])
        set_stage(path, "canary", order_index=5)
        await path.get()
        assert counts_of(path)
        set_stage(path, "full", order_index=5)
        assert counts_of(path)
        set_stage(path, "canary", order_index=9)
        assert counts_of(path) == {}

    with_path(body, old, target)


def test_report_while_a_slow_response_is_awaited(with_path):
    """Load: a request that the old version holds for 400 ms when ``full`` comes.

    Guards against a roll-out that is completed while the old version still works, and
    against a report on its end that comes late.
    """
    old, target = Backend("old", delay_ms=400.0), Backend("new")

    async def body(path, *backends):
        announce(path, [old], [target])
        # Sent before the order: it is in flight when the roll-out ends.
        path.view.version_loads.get("s", "v2")
        path.announce(target, sequence=70, is_leaving=True, version="v2")
        request = await curio.spawn(path.get)
        await wait_until(lambda: old.requests)
        path.announce(target, sequence=80, version="v2")
        feed = FakeFeed()
        reports = await curio.spawn(reporter_of(path, FakeFeeds(feed)).run, daemon=True)
        full = set_stage(path, "full")
        await curio.sleep(0.26)
        report = feed.reports()[-1]
        assert report[:5] == ["s", full.order_index, full.stage_index, 1, 0]
        assert 1 <= len(feed.lines) <= 3
        assert (await request.join()).status == 200
        n_lines = len(feed.lines)
        await wait_until(lambda: len(feed.lines) > n_lines, 120.0)
        assert feed.reports()[-1][3:5] == [0, 0]
        await reports.cancel()

    with_path(body, old, target)


def test_long_response_is_in_flight_until_it_was_read(with_path):
    """Guards against a download that breaks off because the old version is stopped
    while its response is passed on."""
    body_bytes = b"x" * (1 << 20)
    old = Backend("old", respond=lambda request: signed_response(200, body_bytes))

    async def body(path, *backends):
        announce(path, [old])
        set_stage(path, "canary")
        response = await path.get()
        assert response.remaining_body is not None
        loads = path.view.version_loads
        assert loads.n_in_flight("s", "v2") == (1, 0)
        # The endpoint is gone from the view while its response is passed on.
        path.view.forget("old", "silent")
        assert loads.n_in_flight("s", "v2") == (1, 0)
        while await response.remaining_body.read():
            pass
        assert loads.n_in_flight("s", "v2") == (1, 0)
        await response.remaining_body.close()
        assert loads.n_in_flight("s", "v2") == (0, 0)

    with_path(body, old)


def test_caller_that_stops_reading_does_not_hold_the_old_version(with_path):
    """Load: a caller with a deadline of 400 ms reads nothing of a response of 32 MB.

    Guards against a good version that isn't completed since one long response from the
    old version stays in flight for as long as its caller keeps the connection.
    """
    body_bytes = b"x" * (32 << 20)
    old = Backend("old", respond=lambda request: signed_response(200, body_bytes))

    async def body(path, *backends):
        announce(path, [old])
        set_stage(path, "canary")
        server = HttpServer(path.forwarder.handle, window_bytes=BODY_WINDOW_BYTES)
        port = await server.start("127.0.0.1", 0)
        caller = await curio.open_connection("127.0.0.1", port)
        async with caller:
            await caller.sendall(
                b"GET /x/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q1\r\n"
                b"x-deadline-ms: 400\r\n\r\n"
            )
            loads = path.view.version_loads
            await wait_until(lambda: loads.n_in_flight("s", "v2") == (1, 0))
            await curio.sleep(0.2)
            assert loads.n_in_flight("s", "v2") == (1, 0)
            await wait_until(lambda: loads.n_in_flight("s", "v2") == (0, 0), 1_500.0)

    with_path(body, old)


def test_relayed_request_is_counted_in_flight(with_path):
    """Guards against a request of a peer that isn't in the report of the entry that
    sent it to the old version."""
    old = Backend("old", delay_ms=100.0)

    async def body(path, *backends):
        announce(path, [old])
        set_stage(path, "canary")
        headers = [(b"host", b"h.example"), (b"x-request-id", b"q1")]
        request = Request(b"GET", b"/x/1", headers, b"")
        relayed = RelayedRequest("s", 200.0, 2, False, False, 1, True)
        task = await curio.spawn(path.forwarder.handle_relayed, request, relayed)
        await wait_until(lambda: old.requests)
        assert path.view.version_loads.n_in_flight("s", "v2") == (1, 0)
        assert (await task.join())[0].status == 200
        assert path.view.version_loads.n_in_flight("s", "v2") == (0, 0)

    with_path(body, old)


def test_report_goes_to_a_new_leader_at_once(with_path):
    """Guards against a leader that waits for evidence after an election, against an
    error of a feed that ends the reports, and against reports after the end."""

    async def body(path, *backends):
        announce(path, backends)
        first, second = FakeFeed(), FakeFeed()
        feeds = FakeFeeds(first)
        set_stage(path, "canary")
        reports = await curio.spawn(reporter_of(path, feeds).run, daemon=True)
        await wait_until(lambda: first.lines)
        first.fails = True
        await curio.sleep(0.22)
        feeds.leader = second
        await wait_until(lambda: second.lines, 100.0)
        incarnations = {line["rollouts"][0] for line in first.lines + second.lines}
        assert len(incarnations) == 1
        set_stage(path, "rolled_back")
        await curio.sleep(0.05)
        n_lines = len(second.lines)
        await curio.sleep(0.3)
        assert len(second.lines) == n_lines
        path.log.flush()
        stages = [line for line in path.lines if "event=rollout_stage" in line]
        assert len(stages) == 2
        assert "stage=rolled_back before=canary" in stages[-1]
        await reports.cancel()

    with_path(body, Backend("old"))


def test_changes_of_stage_are_reported_at_once(with_path):
    """Guards against an entry whose report holds up each stage by an interval."""

    async def body(path, *backends):
        announce(path, backends)
        feed = FakeFeed()
        set_stage(path, "canary")
        reports = await curio.spawn(reporter_of(path, FakeFeeds(feed)).run, daemon=True)
        await wait_until(lambda: feed.lines)
        for stage in ("ramp", "full", "reverting"):
            rollout = set_stage(path, stage, 0.3)
            await wait_until(lambda: feed.reports()[-1][2] == rollout.stage_index, 120)
        await reports.cancel()

    with_path(body, *backends_of("old", 1))


def test_report_is_readable_for_control(with_path):
    """Guards against a report that the control leader counts as malformed."""

    async def body(path, *backends):
        announce(path, backends)
        rollout = set_stage(path, "canary")
        assert (await path.get()).status == 200
        line = json.loads(json.dumps(reporter_of(path, FakeFeeds()).build_report()))
        assert is_whole_number(line[0])
        report = decode_report(line[1][0])
        assert (report.service, report.order_index) == ("s", rollout.order_index)
        assert report.stage_index == rollout.stage_index
        assert report.counts == {"r1": RouteCounts(n_old=1)}

    with_path(body, Backend("old"))


def test_loads_of_versions_are_bounded():
    """Guards against memory that grows with each version of a service."""
    loads = VersionLoads()
    busy = loads.get("s", "v0")
    busy.n_in_flight = 1
    for number in range(1, 1_000):
        loads.get("s", f"v{number}")
        loads.retain({("s", f"v{number}")})
    assert len(loads._loads) == 2
    assert loads.n_in_flight("s", "v999") == (1, 0)
