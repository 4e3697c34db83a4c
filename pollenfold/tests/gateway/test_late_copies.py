"""Second copies of answers that come late, on a connection that is in use again."""

import curio
import pytest

from pollenfold.tests.gateway.conftest import Backend, answer

UNHEALTHY_COPY = (
    b"HTTP/1.1 503 X\r\nx-instance-id: one\r\nx-server-load: 0,0,6,100\r\n"
    b"content-length: 0\r\n\r\n"
)
HEALTHY_COPY = UNHEALTHY_COPY.replace(b"503 X", b"200 OK")
OTHER = answer(200, b"other", b"q0")
REFUSED_COPY = answer(503, b"other", b"q0", b"x-not-executed: 1")
ERROR_COPY = answer(500, b"other", b"q0")


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize(
    "copy", [UNHEALTHY_COPY, HEALTHY_COPY, OTHER, REFUSED_COPY, ERROR_COPY]
)
@pytest.mark.parametrize("is_apart", [False, True])
def test_late_copy_is_not_taken_for_the_answer(
    with_path, copy, is_idempotent, is_apart
):
    """Guards against the answer to another request or to a health check, which would
    be passed on, or read as a word that the request did not run."""

    async def body(path, backend):
        # The health answer before the request makes the connection one in use again.
        backend.respond = lambda request: copy if is_apart else copy + answer()
        task = await curio.spawn(path.get, b"GET" if is_idempotent else b"POST")
        if is_apart:
            while not backend.requests:
                await curio.sleep(0.005)
            await curio.sleep(0.05)
            await backend.send_to_all(answer())
        response = await task.join()
        assert (response.status, response.body) == (200, b"whole")
        assert len(backend.requests) == 1
        # Nobody can tell what else is still on its way on this connection.
        assert not path.balancer._connections.has_idle("one")

    with_path(body, Backend("one"), is_idempotent=is_idempotent)


def test_late_copy_of_an_answer_is_not_taken_for_a_health_answer(with_path):
    """Guards against a load that another moment had, and against the health answer
    that follows and would stand where the answer to the request is due."""

    async def body(path, backend):
        assert (await path.get()).body == b"whole"
        backend.before_health = OTHER
        assert (await path.get()).body == b"whole"
        backend.before_health = b""
        assert (await path.get()).body == b"whole"
        assert len(backend.requests) == 3

    with_path(body, Backend("one"))


def head_only(status, *headers):
    """Return an answer to another request whose body isn't sent."""
    lines = [b"HTTP/1.1 %d X" % status, b"x-request-id: q0", *headers]
    return b"\r\n".join([*lines, b"x-response-signature: s"]) + b"\r\n\r\n"


@pytest.mark.parametrize("method", [b"GET", b"HEAD", b"POST"])
@pytest.mark.parametrize("is_apart", [False, True])
@pytest.mark.parametrize(
    "copy",
    [
        head_only(200, b"content-length: 5"),
        head_only(204),
        head_only(304, b"content-length: 5"),
        head_only(103) + OTHER,
        head_only(200, b"transfer-encoding: chunked"),
    ],
    ids=["head", "no_content", "not_modified", "interim", "chunked_head"],
)
def test_late_copy_without_its_body_never_lends_its_head_to_the_answer(
    with_path, copy, method, is_apart
):
    """Guards against the head of one answer with the bytes of the next: the copy of an
    answer to HEAD names a length that it doesn't have."""

    async def body(path, backend):
        whole = head_only(200, b"content-length: 5").replace(b"q0", b"q1")
        whole = whole if method == b"HEAD" else answer()
        backend.respond = lambda request: copy if is_apart else copy + whole
        task = await curio.spawn(path.get, method)
        if is_apart:
            while not backend.requests:
                await curio.sleep(0.005)
            await curio.sleep(0.05)
            await backend.send_to_all(whole)
        response = await task.join()
        expected = b"" if method == b"HEAD" else b"whole"
        is_own = (response.status, response.body) == (200, expected)
        assert is_own or response.status in (502, 504)
        if is_own:
            assert (b"x-request-id", b"q1") in response.headers
        assert not path.balancer._connections.has_idle("one")

    with_path(body, Backend("one"), is_idempotent=method != b"POST")
