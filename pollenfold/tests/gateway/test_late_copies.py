"""Duplicate responses that arrive late, on a connection that has been reused."""

import curio
import pytest

from pollenfold.tests.gateway.conftest import Backend, signed_response

UNHEALTHY_COPY = (
    b"HTTP/1.1 503 X\r\nx-instance-id: one\r\nx-server-load: 0,0,6,100\r\n"
    b"content-length: 0\r\n\r\n"
)
HEALTHY_COPY = UNHEALTHY_COPY.replace(b"503 X", b"200 OK")
EARLIER_COPY = signed_response(200, b"other", b"q0")
REFUSED_COPY = signed_response(503, b"other", b"q0", b"x-not-executed: 1")
ERROR_COPY = signed_response(500, b"other", b"q0")


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(
    "copy", [UNHEALTHY_COPY, HEALTHY_COPY, EARLIER_COPY, REFUSED_COPY, ERROR_COPY]
)
@pytest.mark.parametrize("is_separate", [False, True])
def test_late_duplicate_is_not_used_as_the_response(
    with_path, copy, is_idempotent, is_separate
):
    """Guards against a late response to another request or to a health check that is
    passed on, or that is read as a refusal of the current request.

    The duplicate arrives together with the response, or in a separate write before it.
    """

    async def body(path, backend):
        # The health check before the request makes this a reused connection.
        backend.respond = lambda request: (
            copy if is_separate else copy + signed_response()
        )
        task = await curio.spawn(path.get, b"GET" if is_idempotent else b"POST")
        if is_separate:
            while not backend.requests:
                await curio.sleep(0.005)
            await curio.sleep(0.05)
            await backend.send_to_all(signed_response())
        response = await task.join()
        assert (response.status, response.body) == (200, b"whole")
        assert len(backend.requests) == 1
        # More unexpected bytes may still be in flight on this connection.
        assert not path.balancer._connections.has_idle("one")

    with_path(body, Backend("one"), is_idempotent=is_idempotent)


def test_late_duplicate_of_a_response_is_not_used_as_a_health_response(with_path):
    """Guards against an outdated load, and against the health response that follows
    the duplicate and would be read as the response to the request."""

    async def body(path, backend):
        assert (await path.get()).body == b"whole"
        backend.before_health = EARLIER_COPY
        assert (await path.get()).body == b"whole"
        backend.before_health = b""
        assert (await path.get()).body == b"whole"
        assert len(backend.requests) == 3

    with_path(body, Backend("one"))


def head_only(status, *headers):
    """Return the head of a response to another request, without its body."""
    lines = [b"HTTP/1.1 %d X" % status, b"x-request-id: q0", *headers]
    return b"\r\n".join([*lines, b"x-response-signature: s"]) + b"\r\n\r\n"


@pytest.mark.parametrize("method", [b"GET", b"HEAD", b"POST"])
@pytest.mark.parametrize("is_separate", [False, True])
@pytest.mark.parametrize(
    "copy",
    [
        head_only(200, b"content-length: 5"),
        head_only(204),
        head_only(304, b"content-length: 5"),
        head_only(103) + EARLIER_COPY,
        head_only(200, b"transfer-encoding: chunked"),
    ],
    ids=["head", "no_content", "not_modified", "interim", "chunked_head"],
)
def test_head_of_a_late_duplicate_is_not_combined_with_the_next_response(
    with_path, copy, method, is_separate
):
    """Guards against a response made of the head of one and the bytes of the next.

    A duplicate of a response to HEAD has a content length but no body.
    """

    async def body(path, backend):
        response_bytes = head_only(200, b"content-length: 5").replace(b"q0", b"q1")
        response_bytes = response_bytes if method == b"HEAD" else signed_response()
        backend.respond = lambda request: copy if is_separate else copy + response_bytes
        task = await curio.spawn(path.get, method)
        if is_separate:
            while not backend.requests:
                await curio.sleep(0.005)
            await curio.sleep(0.05)
            await backend.send_to_all(response_bytes)
        response = await task.join()
        expected = b"" if method == b"HEAD" else b"whole"
        is_own = (response.status, response.body) == (200, expected)
        assert is_own or response.status in (502, 504)
        if is_own:
            assert (b"x-request-id", b"q1") in response.headers
        assert not path.balancer._connections.has_idle("one")

    with_path(body, Backend("one"), is_idempotent=method != b"POST")


EARLIER_REFUSALS = [
    b"HTTP/1.1 503 X\r\nx-not-executed: 1\r\nx-request-id: q0\r\n"
    b"content-length: 0\r\n\r\n",
    b"HTTP/1.1 429 X\r\nx-not-executed: 1\r\nx-request-id: q0\r\n"
    b"content-length: 4\r\n\r\nfull",
    b"HTTP/1.1 421 X\r\nx-request-id: q0\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 400 X\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
]


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("when", ["idle", "before", "with", "while_running"])
@pytest.mark.parametrize("refusal", EARLIER_REFUSALS)
def test_refusal_that_is_written_once_more_refuses_no_other_request(
    with_path, refusal, when, is_idempotent
):
    """Guards against a caller that is told its request hasn't run though it has, and
    against a second run, when a server writes an earlier refusal once more on a kept
    connection. A refusal without an id belongs to a request that had none."""

    async def body(path, one, two):
        one.respond = lambda request: EARLIER_REFUSALS[0].replace(b"q0", b"q1")
        two.respond = lambda request: signed_response()
        while not one.requests:
            await path.get()
        n_refused = len(one.requests)
        one.respond = lambda request: signed_response()
        two.requests.clear()
        path.view.forget("two", "test")
        one.delay_ms = 60.0 if when == "while_running" else 0.0
        if when == "idle":
            await one.clients[-1].sendall(refusal)
            idle = path.balancer._connections.pool(path.view.endpoints["one"])._idle
            while not any(connection.has_input() for connection in idle):
                await curio.sleep(0.005)
        if when == "with":
            one.respond = lambda request: refusal + signed_response()
        if when == "before":
            one.before_health = refusal
        task = await curio.spawn(path.get, b"GET" if is_idempotent else b"POST")
        if when == "while_running":
            while len(one.requests) == n_refused:
                await curio.sleep(0.005)
            await one.clients[-1].sendall(refusal)
        response = await task.join()
        assert (response.status, response.body) == (200, b"whole")
        assert len(one.requests) == n_refused + 1
        assert not two.requests

    with_path(body, Backend("one"), Backend("two"), is_idempotent=is_idempotent)
