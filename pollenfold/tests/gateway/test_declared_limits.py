"""Limits that backend servers declare for the requests of all entries together."""

import curio
import pytest

from pollenfold.core.limit_report import decode_limit_report
from pollenfold.tests.gateway.conftest import Backend, CallPath

WINDOW_MS = 4_000.0
TOLD_MS = 500.0
"""How long after its first response with the limit an entry must keep to it."""

LIMIT_PER_S = 3.1


def largest_sum(arrived_ms, since_ms):
    """Return the most arrivals in any window that starts at ``since_ms`` or later."""
    late = [at for at in arrived_ms if at >= since_ms]
    return max((sum(at <= t < at + WINDOW_MS for t in late) for at in late), default=0)


def allowed_in_window(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + 5


async def send_steadily(paths, requests_per_s, duration_s):
    """Send requests through all entries in turn; return the statuses."""
    statuses = []

    async def call(path):
        statuses.append((await path.get()).status)

    tasks = []
    for number in range(int(requests_per_s * duration_s)):
        tasks.append(await curio.spawn(call, paths[number % len(paths)]))
        await curio.sleep(1 / requests_per_s)
    for task in tasks:
        await task.join()
    return statuses


async def relay_reports(paths):
    """Exchange reports among entries, as the control replicas do."""
    while True:
        await curio.sleep(0.2)
        for path in paths:
            reports = path.view.limits.take_reports()
            for other in paths:
                if other is not path:
                    other.view.apply_limit_reports(reports)


@pytest.mark.parametrize("n_entries", [1, 16])
def test_sum_of_all_entries_keeps_to_a_declared_limit(run, n_entries):
    """Guards against a server that gets far more requests and probes than the limit
    that it declared, and against one that gets hardly any because of its limit."""

    async def main():
        limited = Backend("limited", limit=b"%.1f" % LIMIT_PER_S)
        peers = [Backend(f"peer{number}") for number in range(3)]
        backends = [limited, *peers]
        for backend in backends:
            await backend.start()
        names = [f"e{number}" for number in range(n_entries)]
        paths = [CallPath(backends, entry_id=name, entry_ids=names) for name in names]
        # Each entry has seen the limit once.
        statuses = await send_steadily(paths, 100, 1.0)
        since_ms = paths[0].forwarder._clock() + TOLD_MS
        n_before = len(limited.requests)
        statuses += await send_steadily(paths, 100, 9.0)
        assert largest_sum(limited.arrived_ms, since_ms) <= allowed_in_window(
            LIMIT_PER_S
        )
        assert len(limited.requests) - n_before >= 0.75 * LIMIT_PER_S * 9
        assert statuses.count(200) == len(statuses)

    run(main)


async def limited_and_peer(run_body, limit=b"3.1", n_peers=1):
    """Run a body with a call path that has seen the limit of one server."""
    limited = Backend("limited", limit=limit)
    peers = [Backend(f"peer{number}") for number in range(n_peers)]
    for backend in (limited, *peers):
        await backend.start()
    path = CallPath([limited, *peers])
    while path.view.endpoints["limited"].declared_limit is None:
        await path.get()
    await run_body(path, limited, *peers)


def test_slow_response_from_before_the_limit_does_not_end_it(run):
    """Guards against a limit that ends with a response which the server made before it
    declared the limit, but which arrives after it."""

    async def main():
        backend = Backend("one", delay_ms=300.0)
        await backend.start()
        path = CallPath([backend])
        slow = await curio.spawn(path.get)
        while not backend.requests:
            await curio.sleep(0.005)
        endpoint = path.view.endpoints["one"]
        path.view.limits.declare(endpoint, 2.0, path.forwarder._clock())
        assert (await slow.join()).status == 200
        assert endpoint.declared_limit is not None
        assert endpoint.declared_limit.rate_per_s == 2.0

    run(main)


def test_server_that_stops_declaring_a_limit_gets_its_work_again(run):
    """Guards against a server that is kept out after its limit has ended."""

    async def body(path, limited, peer):
        await curio.spawn(path.balancer.run_maintenance, daemon=True)
        limited.limit = b""
        await send_steadily([path], 20, 4.0)
        n_before = len(limited.requests)
        await send_steadily([path], 20, 2.0)
        assert len(limited.requests) - n_before >= 10

    run(limited_and_peer, body)


def test_limit_of_zero_ends_without_requests(run):
    """Guards against a server that declared a limit of 0 and is never looked at again,
    and against requests to it meanwhile."""

    async def body(path, limited, peer):
        await curio.spawn(path.balancer.run_maintenance, daemon=True)
        n_requests = len(limited.requests)
        since_ms = path.forwarder._clock()
        await send_steadily([path], 20, 3.0)
        assert len(limited.requests) == n_requests
        assert largest_sum(limited.arrived_ms, since_ms) <= allowed_in_window(0.0)
        limited.limit = b""
        await send_steadily([path], 20, 6.0)
        assert len(limited.requests) > n_requests

    run(limited_and_peer, body, b"0")


def test_request_is_refused_at_once_while_all_servers_are_at_their_limit(run):
    """Guards against a request that waits for a permit until its deadline, and against
    a refusal without a time to return or after an execution."""

    async def body(path, limited):
        n_before = len(limited.requests)
        started_at = path.forwarder._clock()
        response = await path.get()
        assert path.forwarder._clock() - started_at < 100
        assert response.status == 503
        assert b"did_not_run" in response.body
        assert 0 < float(dict(response.headers)[b"retry-after"]) <= 4
        assert len(limited.requests) == n_before
        path.log.flush()
        assert any("asked=limited/" in line for line in path.lines)

    run(limited_and_peer, body, b"0.5", 0)


@pytest.mark.parametrize(
    "value",
    [b"-1", b"nan", b"inf", b"1e3", b"3,1", b"soon", b"\xb2", b"9" * 4000, b"+2", b"."],
)
def test_malformed_limit_changes_nothing_and_is_logged_once(run, value):
    """Guards against a server that is kept out by a value that is no limit, and
    against a log line for each of its responses."""

    async def main():
        backend = Backend("one", limit=value)
        await backend.start()
        path = CallPath([backend])
        statuses = await send_steadily([path], 50, 0.5)
        assert set(statuses) == {200}
        assert path.view.endpoints["one"].declared_limit is None
        path.log.flush()
        lines = [line for line in path.lines if "event=malformed_limit" in line]
        assert len(lines) == 1
        assert len(lines[0]) < 400

    run(main)


def test_malformed_limit_leaves_the_declared_one_in_force(run):
    """Guards against a limit that ends because of a malformed value."""

    async def body(path, limited, peer):
        limited.limit = b"many"
        n_before = len(limited.requests)
        await send_steadily([path], 30, 3.0)
        assert len(limited.requests) - n_before <= allowed_in_window(2.0)
        assert path.view.endpoints["limited"].declared_limit.rate_per_s == 2.0

    run(limited_and_peer, body, b"2.0")


def test_new_incarnation_is_not_bound_by_the_limit_of_the_one_before(run):
    """Guards against a restarted server that is held to a limit it never declared."""

    async def body(path, limited, peer):
        limited.limit = b""
        path.announce(limited, sequence=1, born_ms=2000)
        assert path.view.endpoints["limited"].declared_limit is None

    run(limited_and_peer, body)


def test_limited_server_that_fails_is_not_preferred(run):
    """Guards against requests to a limited server that fails while others serve."""

    async def body(path, limited, peer):
        limited.respond = lambda request: None
        statuses = await send_steadily([path], 30, 4.0)
        assert statuses.count(200) >= len(statuses) - 2
        assert len(limited.requests) < 20

    run(limited_and_peer, body)


@pytest.mark.parametrize("limit", [b"0", b"0.5"])
def test_all_entries_learn_within_seconds_that_a_limit_ended(run, limit):
    """Guards against a server that gets hardly any work after its limit has ended,
    since entries without a permit don't see its responses."""

    async def main():
        limited, peer = Backend("limited", limit=limit), Backend("peer")
        await limited.start()
        await peer.start()
        names = [f"e{number}" for number in range(16)]
        paths = [
            CallPath([limited, peer], entry_id=name, entry_ids=names) for name in names
        ]
        for path in paths:
            await curio.spawn(path.balancer.run_maintenance, daemon=True)
        await curio.spawn(relay_reports, paths, daemon=True)
        await send_steadily(paths, 60, 2.0)
        since_ms = paths[0].forwarder._clock()
        await send_steadily(paths, 60, 4.0)
        bound = allowed_in_window(float(limit))
        assert largest_sum(limited.arrived_ms, since_ms) <= bound
        limited.limit = b""
        await send_steadily(paths, 60, 7.0)
        endpoints = [path.view.endpoints["limited"] for path in paths]
        assert not any(endpoint.declared_limit for endpoint in endpoints)

    run(main)


def test_report_older_than_what_this_entry_saw_is_ignored(run):
    """Guards against a limit that a delayed report ends, or that one starts again."""

    async def body(path, limited, peer):
        path.view.apply_limit_reports([["limited", 1000, None, 60_000]])
        assert path.view.endpoints["limited"].declared_limit.rate_per_s == 3.1
        path.view.apply_limit_reports([["limited", 1000, None, 0]])
        assert path.view.endpoints["limited"].declared_limit is None
        path.view.apply_limit_reports([["limited", 1000, 2.0, 5_000]])
        assert path.view.endpoints["limited"].declared_limit is None

    run(limited_and_peer, body)


def test_report_applies_to_one_incarnation_which_may_be_announced_later(run):
    """Guards against a starting entry that overruns a limit that others know, and
    against a new incarnation that is bound by a report on the one before it."""

    async def main():
        backend = Backend("one")
        await backend.start()
        path = CallPath([])
        path.view.apply_limit_reports([["one", 1000, 2.0, 0]])
        path.announce(backend)
        assert path.view.endpoints["one"].declared_limit.rate_per_s == 2.0
        path.announce(backend, born_ms=2000)
        assert path.view.endpoints["one"].declared_limit is None

    run(main)


@pytest.mark.parametrize(
    "fields",
    [
        [],
        "one",
        ["one", 1000, -1.0, 0],
        ["one", 1000, float("nan"), 0],
        ["one", 1000, 2.0, float("inf")],
        ["one", "1000", 2.0, 0],
        ["one", 1000, 2.0, -1],
    ],
)
def test_malformed_report_is_rejected(fields):
    """Guards against a damaged report that changes what an entry believes."""
    with pytest.raises(ValueError):
        decode_limit_report(fields)


def test_scarce_permits_go_to_requests_that_can_be_in_time(run):
    """Load pattern: all servers declare limits far below the demand, and refused
    callers return when their target has passed.

    Guards against permits used for late responses while others could be in time.
    """

    async def body(path, limited):
        in_time, late = [], []

        async def call(deadline, statuses):
            statuses.append((await path.get(deadline=deadline)).status)

        for _ in range(100):
            await curio.spawn(call, b"800", late)
            await curio.sleep(0.02)
            await curio.spawn(call, b"1500", in_time)
            await curio.sleep(0.02)
        assert in_time.count(200) >= 0.75 * 10 * 4
        assert late.count(200) <= 0.1 * in_time.count(200)

    run(limited_and_peer, body, b"10", 0)


def test_unused_permits_serve_late_requests(run):
    """Guards against late requests that are refused though nobody else wants to use
    the permits."""

    async def body(path, limited):
        statuses = []
        for _ in range(5):
            await curio.sleep(0.7)
            statuses.append((await path.get(deadline=b"800")).status)
        assert statuses.count(200) >= 4

    run(limited_and_peer, body, b"10", 0)
