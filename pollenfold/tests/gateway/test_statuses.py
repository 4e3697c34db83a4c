"""Status lines of endpoints: which are passed on, and what an invalid one means."""

import pytest

from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.http.messages import find_header
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend, signed_response
from pollenfold.tests.gateway.relaying import FakePeer
from pollenfold.tests.gateway.test_peer_port import start_entry
from pollenfold.tests.gateway.test_relay import exchange, request, with_entries
from pollenfold.tests.http.status_lines import (
    INVALID_STATUS_LINES,
    VALID_STATUS_LINES,
    signed_head,
)

__all__ = ["with_entries"]

NOT_EXECUTED = b"x-not-executed: 1"


def logged(path, event):
    path.log.flush()
    return [line for line in path.lines if f"event={event} " in line]


def n_penalized(path):
    now = system_clock()
    return sum(e.health.penalty(now) > 1.5 for e in path.view.endpoints.values())


@pytest.mark.parametrize("extra", [(), (NOT_EXECUTED,)])
@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_invalid_status_is_an_unknown_outcome(with_path, status_line, extra):
    """Guards against an invalid answer that a caller gets as an answer, that is taken
    for a refusal, or after which an order runs again."""

    async def body(path, backend, other):
        for n_sent in (1, 2):
            response = await path.get(b"POST", body=b"x")
            assert response.status == 502
            state = find_header(response.headers, b"pollenfold-run-state")
            assert state == b"outcome_unknown"
            assert find_header(response.headers, b"x-response-signature") is None
            assert len(backend.requests) + len(other.requests) == n_sent
        connections = [*map(id, backend.clients), *map(id, other.clients)]
        assert len(set(connections)) == 2
        assert n_penalized(path) >= 1

    head = signed_head(status_line, *extra)
    backends = [Backend(name, lambda data: head) for name in ("one", "two")]
    with_path(body, *backends, is_idempotent=False)


@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_invalid_status_is_repeated_where_that_is_safe(with_path, status_line):
    """Guards against a caller who gets the failure of one endpoint although another one
    is well, and against attempts beyond those of the route."""

    async def body(path, *backends):
        response = await path.get()
        assert response.status == 502
        assert find_header(response.headers, b"x-response-signature") is None
        assert sum(len(backend.requests) for backend in backends) == 2
        for backend in backends[:2]:
            backend.respond = None
        for _ in range(4):
            assert (await path.get()).status == 200

    head = signed_head(status_line)
    names = ("one", "two", "three")
    with_path(body, *[Backend(name, lambda data: head) for name in names])


@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_log_names_the_endpoint_with_an_invalid_status(with_path, status_line):
    """Guards against a 502 whose cause isn't in the log."""

    async def body(path, backend):
        await path.get(b"POST", body=b"x")
        (line,) = logged(path, "response_invalid")
        assert "request=q1 endpoint=one detail=" in line

    head = signed_head(status_line)
    with_path(body, Backend("one", lambda data: head), is_idempotent=False)


def test_log_names_the_peer_with_an_invalid_status(with_entries):
    """Guards against a lost hop whose cause isn't in the log."""
    fake = InvalidPeer(4, 0, "refuse")
    fake.response = signed_head(b"HTTP/1.1 999 X")

    async def body(passing, reaching, backend):
        await exchange(passing, request())
        (line,) = passing.logged("response_invalid")
        assert 'request=q1 peer=e4 detail="status 999"' in line

    with_entries(body, Backend("one"), peers=[fake])


@pytest.mark.parametrize(("status_line", "status"), VALID_STATUS_LINES)
def test_valid_status_is_passed_on(with_path, status_line, status):
    """Guards against a check that refuses what the protocol allows."""

    async def body(path, backend):
        response = await path.get(b"POST", body=b"x")
        assert response.status == status
        assert find_header(response.headers, b"x-response-signature") == b"s"
        assert not logged(path, "response_invalid")

    backend = Backend("one", lambda data: signed_head(status_line))
    with_path(body, backend, is_idempotent=False)


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_status_is_no_final_answer(with_path, status):
    """Guards against an answer that ends with an interim one."""

    async def body(path, backend):
        response = await path.get(b"POST", body=b"x")
        assert response.status == 502
        assert find_header(response.headers, b"x-response-signature") is None

    interim = signed_head(b"HTTP/1.1 %d X" % status)
    backend = Backend("one", lambda data: interim, closes_after_response=True)
    with_path(body, backend, is_idempotent=False)


@pytest.mark.parametrize("status", [204, 304])
def test_body_of_a_bodiless_status_reaches_no_caller(with_path, status):
    """Guards against bytes after a 204 or 304 that become part of the next answer."""

    async def body(path, backend):
        for _ in range(2):
            response = await path.get(b"POST", body=b"x")
            assert (response.status, response.body) == (status, b"")
        assert len(set(map(id, backend.clients))) == 2

    backend = Backend("one", lambda data: signed_response(status, b"surplus"))
    with_path(body, backend, is_idempotent=False)


@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_invalid_health_answer_is_none(with_path, status_line):
    """Guards against a health answer that isn't one and draws requests, carries a load
    or binds a limit."""

    async def body(path, bad, good):
        for _ in range(6):
            assert (await path.get()).status == 200
        assert not bad.requests
        assert path.view.endpoints["bad"].declared_limit is None

    head = signed_head(status_line, b"x-server-load: 0,0,6,100", b"server-limit: 1")
    head = head.replace(b"x-request-id: q1\r\n", b"")
    with_path(body, Backend("bad", health=lambda: head), Backend("good"))


@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_invalid_status_of_an_endpoint_stays_at_the_hop(with_entries, status_line):
    """Guards against an invalid answer that a peer passes on, or an order that the
    passing entry sends again after it."""

    async def body(passing, reaching, backend):
        status, headers, *_ = await exchange(passing, request())
        assert status == 502
        assert find_header(headers, b"pollenfold-run-state") == b"outcome_unknown"
        assert find_header(headers, b"x-response-signature") is None
        assert len(backend.requests) == 1

    head = signed_head(status_line)
    with_entries(body, Backend("one", lambda data: head))


class InvalidPeer(FakePeer):
    """A peer that answers relayed requests with ``response``."""

    response: bytes = b""

    def relayed_response(self):
        return self.response


@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_invalid_status_of_a_peer_is_a_lost_hop(
    with_entries, status_line, is_idempotent
):
    """Guards against an invalid answer of a peer that reaches a caller, says that a
    request didn't run, or leads to a second run of an order."""
    fake = InvalidPeer(4, 0, "refuse")
    state = b"pollenfold-run-state: did_not_run"
    fake.response = signed_head(status_line, state)

    async def body(passing, reaching, backend):
        status, headers, *_ = await exchange(passing, request())
        assert passing.results[0].outcome.value == AttemptOutcome.LOST.value
        assert status == (200 if is_idempotent else 502)
        assert len(backend.requests) == int(is_idempotent)

    with_entries(body, Backend("one"), peers=[fake], is_idempotent=is_idempotent)


@pytest.mark.parametrize("status_line", INVALID_STATUS_LINES)
def test_invalid_status_answers_no_question_of_reach(run, status_line):
    """Guards against a peer that counts as reaching a service by an invalid answer."""

    async def main():
        entry = await start_entry(2)
        fake = FakePeer(4, entry.relay_port, answer_status_line=status_line)
        await fake.start()
        assert await entry.gateway.relay_client.ask_reach(fake.peer) is None

    run(main)
