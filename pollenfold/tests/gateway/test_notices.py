"""What endpoints say of themselves in answers: that they leave, or want a rest."""

import curio
import pytest

from .conftest import Backend, answer

LEAVING = b"server-leaving: 1"
NOT_EXECUTED = b"x-not-executed: 1"


def health(status, name, *headers):
    lines = [b"HTTP/1.1 %d X" % status, b"x-instance-id: " + name.encode()]
    lines += [b"x-server-load: 0,0,6,100", b"content-length: 0", *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def refusal(retry_after):
    """Return what answers a request that the server turns away."""
    header = b"retry-after: " + retry_after
    return lambda request: answer(503, b"", b"q1", NOT_EXECUTED, header)


async def check_that_only_the_first_request_reaches(backend, path):
    """Send some requests; after the first the backend may not even be asked."""
    await path.get()
    assert len(backend.requests) == 1
    n_checks = backend.n_checks
    for _ in range(5):
        assert (await path.get()).status == 200
    assert (len(backend.requests), backend.n_checks) == (1, n_checks)


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_server_that_says_that_it_leaves_gets_no_further_request(with_path, status):
    """Guards against requests that reach a server after its answer said that it
    leaves, when no announcement came through."""
    leaver = Backend("leaver", lambda request: answer(status, b"", b"q1", LEAVING))
    other = Backend("other", load=b"0,0,6,200")

    async def body(path, leaver, other):
        await check_that_only_the_first_request_reaches(leaver, path)

    with_path(body, leaver, other)


def test_health_answer_that_says_leaving_counts_too(with_path):
    """Guards against a first request to a server that just said that it leaves."""
    leaver = Backend("leaver", health=lambda: health(200, "leaver", LEAVING))

    async def body(path, leaver):
        assert (await path.get()).status == 503
        assert not leaver.requests

    with_path(body, leaver)


def test_word_binds_the_life_and_not_the_address(with_path):
    """Guards against an announcement on its way that brings a leaving server back,
    and against a new server that is left out for what the one before it said."""
    leaver = Backend("leaver", lambda request: answer(200, b"", b"q1", LEAVING))

    async def body(path, leaver):
        await path.get()
        path.announce(leaver, sequence=9)
        assert (await path.get()).status == 503
        path.view.forget("leaver", "test")
        path.announce(leaver, sequence=10)
        assert (await path.get()).status == 503
        path.announce(leaver, sequence=1, born_ms=2000)
        assert (await path.get()).status == 200

    with_path(body, leaver)


def test_answer_of_another_instance_says_nothing_of_the_endpoint(with_path):
    """Guards against a sound server that is left out for the one that had its
    address."""
    backend = Backend("s1", lambda request: answer(421, b"", b"q1", LEAVING))

    async def body(path, backend):
        await path.get()
        endpoint = path.view.endpoints["s1"]
        assert not path.view.is_leaving(endpoint)

    with_path(body, backend)


def test_idle_connections_to_a_leaving_server_are_closed(with_path):
    """Guards against connections that keep a leaving server from ending."""
    leaver = Backend("leaver", lambda request: answer(200, b"", b"q1", LEAVING))

    async def body(path, leaver):
        await path.get()
        await path.balancer._connections.close_old()
        await curio.sleep(0.05)
        assert leaver.n_closed == 1

    with_path(body, leaver)


def test_server_that_asks_for_a_rest_gets_neither_requests_nor_questions(with_path):
    """Guards against work for a server that said for how long it wants none, and
    against one that gets none any more when that time is over."""
    tired = Backend("tired", refusal(b"0.4"))
    other = Backend("other", load=b"0,0,6,200")

    async def body(path, tired, other):
        await check_that_only_the_first_request_reaches(tired, path)
        tired.respond = None
        await curio.sleep(0.5)
        for _ in range(5):
            await path.get()
        assert len(tired.requests) > 1

    with_path(body, tired, other)


def test_request_is_refused_at_once_while_all_servers_rest(with_path):
    """Guards against a search that lasts until the deadline, and against a refused
    caller that comes back before any server wants work."""
    tired = Backend("tired", refusal(b"2"))

    async def body(path, tired):
        await path.get()
        started_at = await curio.clock()
        response = await path.get()
        assert await curio.clock() - started_at < 0.1
        assert response.status == 503
        assert float(dict(response.headers)[b"retry-after"]) >= 1.8
        assert len(tired.requests) == 1

    with_path(body, tired)


def test_half_of_the_servers_that_rest_leave_the_work_to_the_others(with_path):
    """Load pattern: a burst in which half of the servers shed and ask for 2 s."""
    tired = [Backend(f"t{number}", refusal(b"2")) for number in range(4)]
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
        # Those that were asked at one moment may each get one request.
        assert all(len(backend.requests) <= 6 for backend in tired)
        assert sum(len(backend.requests) for backend in tired) <= 16

    with_path(body, *tired, *others)
