"""Notices in responses of endpoints: leaving, and back-off by Retry-After."""

import curio
import pytest

from .conftest import Backend, signed_response

LEAVING = b"server-leaving: 1"
NOT_EXECUTED = b"x-not-executed: 1"


def health(status, name, *headers):
    lines = [b"HTTP/1.1 %d X" % status, b"x-instance-id: " + name.encode()]
    lines += [b"x-server-load: 0,0,6,100", b"content-length: 0", *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def refusal(retry_after):
    """Return a ``respond`` function that refuses requests with this Retry-After."""
    header = b"retry-after: " + retry_after
    return lambda request: signed_response(503, b"", b"q1", NOT_EXECUTED, header)


async def check_that_only_the_first_request_reaches(backend, path):
    """Send some requests; after the first the backend may not even be probed."""
    await path.get()
    assert len(backend.requests) == 1
    n_checks = backend.n_checks
    for _ in range(5):
        assert (await path.get()).status == 200
    assert (len(backend.requests), backend.n_checks) == (1, n_checks)


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_server_gets_no_further_request(with_path, status):
    """Guards against requests to a server whose response announced that it is leaving,
    when its announcement to the control replicas was lost."""
    server = Backend(
        "leaving", lambda request: signed_response(status, b"", b"q1", LEAVING)
    )
    other = Backend("other", load=b"0,0,6,200")

    async def body(path, server, other):
        await check_that_only_the_first_request_reaches(server, path)

    with_path(body, server, other)


def test_leaving_header_of_a_health_response_is_applied(with_path):
    """Guards against a first request to a server whose health response just announced
    that it is leaving."""
    server = Backend("leaving", health=lambda: health(200, "leaving", LEAVING))

    async def body(path, server):
        assert (await path.get()).status == 503
        assert not server.requests

    with_path(body, server)


def test_leaving_applies_to_the_incarnation_and_not_the_address(with_path):
    """Guards against a delayed announcement that returns a leaving server to service,
    and against a new incarnation that is excluded because the one before it left."""
    server = Backend(
        "leaving", lambda request: signed_response(200, b"", b"q1", LEAVING)
    )

    async def body(path, server):
        await path.get()
        path.announce(server, sequence=9)
        assert (await path.get()).status == 503
        path.view.forget("leaving", "test")
        path.announce(server, sequence=10)
        assert (await path.get()).status == 503
        path.announce(server, sequence=1, born_ms=2000)
        assert (await path.get()).status == 200

    with_path(body, server)


def test_response_of_another_instance_does_not_affect_the_endpoint(with_path):
    """Guards against a healthy server that is excluded because of a response from
    another instance at its address."""
    backend = Backend("s1", lambda request: signed_response(421, b"", b"q1", LEAVING))

    async def body(path, backend):
        await path.get()
        endpoint = path.view.endpoints["s1"]
        assert not path.view.is_leaving(endpoint)

    with_path(body, backend)


def test_idle_connections_to_a_leaving_server_are_closed(with_path):
    """Guards against idle connections that keep a leaving server from stopping."""
    server = Backend(
        "leaving", lambda request: signed_response(200, b"", b"q1", LEAVING)
    )

    async def body(path, server):
        await path.get()
        await path.balancer._connections.close_idle()
        await curio.sleep(0.05)
        assert server.n_closed == 1

    with_path(body, server)


def test_server_in_back_off_gets_neither_requests_nor_probes(with_path):
    """Guards against requests to a server during the back-off that it asked for, and
    against a server that receives none after its back-off has ended."""
    refusing = Backend("refusing", refusal(b"0.4"))
    other = Backend("other", load=b"0,0,6,200")

    async def body(path, refusing, other):
        await check_that_only_the_first_request_reaches(refusing, path)
        refusing.respond = None
        await curio.sleep(0.5)
        for _ in range(5):
            await path.get()
        assert len(refusing.requests) > 1

    with_path(body, refusing, other)


def test_request_is_refused_immediately_while_all_servers_back_off(with_path):
    """Guards against a search that lasts until the deadline, and against a Retry-After
    that lets a refused caller return before any server's back-off ends."""
    refusing = Backend("refusing", refusal(b"2"))

    async def body(path, refusing):
        await path.get()
        started_at = await curio.clock()
        response = await path.get()
        assert await curio.clock() - started_at < 0.1
        assert response.status == 503
        assert float(dict(response.headers)[b"retry-after"]) >= 1.8
        assert len(refusing.requests) == 1

    with_path(body, refusing)


def test_requests_go_to_the_others_while_half_of_the_servers_back_off(with_path):
    """Load pattern: a burst in which half of the servers shed load with a 2 s
    Retry-After.

    Guards against failed requests, and against repeated sends to servers that back
    off.
    """
    refusing = [Backend(f"t{number}", refusal(b"2")) for number in range(4)]
    others = [Backend(f"o{number}", delay_ms=10.0) for number in range(4)]

    async def body(path, *backends):
        statuses = []

        async def call():
            statuses.append((await path.get(deadline=b"3000")).status)

        for _ in range(10):
            tasks = [await curio.spawn(call) for _ in range(6)]
            for task in tasks:
                await task.join()
        assert statuses.count(200) >= 54
        # Concurrent requests that probed a server before its first refusal may each
        # still reach it.
        assert all(len(backend.requests) <= 6 for backend in refusing)
        assert sum(len(backend.requests) for backend in refusing) <= 16

    with_path(body, *refusing, *others)
