"""Responses whose status says "not executed" though the endpoint may have run."""

from itertools import product

import pytest

from pollenfold.core.outcomes import REFUSAL_STATUSES
from pollenfold.gateway.relay.headers import (
    RELAY_RESPONSE,
    RelayNotice,
    encode_relay_notice,
)
from pollenfold.gateway.response_reader import RESPONSE_WINDOW_BYTES
from pollenfold.http.messages import find_header
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend, signed_response
from pollenfold.tests.gateway.hedging import is_released
from pollenfold.tests.gateway.relaying import FakePeer
from pollenfold.tests.gateway.test_long_bodies import (
    HEAD,
    LongBackend,
    connect,
    read_response,
)
from pollenfold.tests.gateway.test_relay import exchange, request, with_entries

__all__ = ["with_entries"]

NOT_EXECUTED = b"x-not-executed: 1"
RETRY_AFTER = b"retry-after: 2"
UNMARKED_STATUSES = sorted(REFUSAL_STATUSES - {421})
LONG_BODY = b"x" * (RESPONSE_WINDOW_BYTES + 200_000)


def unmarked(status, *headers, body=b"failed"):
    return lambda data: signed_response(status, body, b"q1", *headers)


def assert_outcome_unknown(status, headers):
    """Check that a response promises nothing and isn't signed by an endpoint."""
    assert status == 502
    assert find_header(headers, b"pollenfold-run-state") == b"outcome_unknown"
    assert find_header(headers, b"x-response-signature") is None


@pytest.mark.parametrize("body", [b"failed", LONG_BODY], ids=["short", "long"])
@pytest.mark.parametrize("extra", [(), (RETRY_AFTER,)])
@pytest.mark.parametrize("status", UNMARKED_STATUSES)
def test_request_that_ran_is_not_answered_as_not_executed(
    with_path, status, extra, body
):
    """Guards against a caller that sends an order again because it got the 503 of a
    server that ran it."""

    async def main(path, *backends):
        response = await path.get(b"POST")
        assert_outcome_unknown(response.status, response.headers)
        assert sum(len(backend.requests) for backend in backends) == 1
        path.log.flush()
        lines = "\n".join(path.lines)
        assert "unmarked_refusal:" in lines and f" endpoint_status={status} " in lines
        for backend in backends:
            assert is_released(path, backend)
            endpoint = path.view.endpoints[backend.name]
            was_asked_to_wait = status == 503 and extra and backend.requests
            assert endpoint.is_backing_off(system_clock()) is bool(was_asked_to_wait)
        metrics = path.metrics
        labels = {"service": "s", "status": str(status)}
        assert metrics.get("unmarked_refusals_total", **labels) == 1

    backends = [Backend(n, unmarked(status, *extra, body=body)) for n in "ab"]
    with_path(main, *backends, is_idempotent=False)


@pytest.mark.parametrize("status", UNMARKED_STATUSES)
def test_early_response_to_an_upload_is_not_passed_on_as_not_executed(
    with_path, status
):
    """Guards against the same for a response that comes before the end of the body."""

    async def main(path, backend):
        _, sock = await connect(path)
        await sock.sendall(HEAD + b"content-length: 4000000\r\n\r\n")
        await sock.sendall(b"x" * 600_000)
        data = await read_response(sock)
        assert data.startswith(b"HTTP/1.1 502") and b"outcome_unknown" in data

    early_response = signed_response(status, b"whole")
    with_path(main, LongBackend("one", early_response, 300_000), is_idempotent=False)


@pytest.mark.parametrize("body", [b"failed", LONG_BODY], ids=["short", "long"])
@pytest.mark.parametrize("status", UNMARKED_STATUSES)
def test_relayed_request_that_ran_is_not_answered_as_not_executed(
    with_entries, status, body
):
    """Guards against the same for a request that another entry passed on."""

    async def main(passing, reaching, backend):
        answer, headers, _, is_complete = await exchange(passing, request())
        assert is_complete
        assert_outcome_unknown(answer, headers)
        assert len(backend.requests) == 1
        (line,) = passing.logged("request_relayed")
        assert f" endpoint_status={status} " in line
        assert passing.calls[0].n_sends() == 1
        assert passing.calls[0].may_have_executed

    with_entries(main, Backend("one", unmarked(status, body=body)))


class EarlierPeer(FakePeer):
    """A peer of an earlier version, which passes on any status of an endpoint."""

    status = 503

    def relayed_response(self):
        notice = RelayNotice(True, "one", 1000, 1, 0, True)
        header = RELAY_RESPONSE + b": " + encode_relay_notice(notice)
        return signed_response(self.status, b"failed", b"q1", header, RETRY_AFTER)


@pytest.mark.parametrize("status", UNMARKED_STATUSES)
def test_refusal_that_an_earlier_version_relays_is_not_passed_on(with_entries, status):
    """Guards against the promise of a peer that runs an earlier version, while the
    entries are updated one after the other."""
    peer = EarlierPeer(4, 0, "pass on")
    peer.status = status

    async def main(passing, reaching, backend):
        answer, headers, _, _ = await exchange(passing, request())
        assert_outcome_unknown(answer, headers)
        assert len(peer.requests) == 1 and not backend.requests
        endpoint = passing.view.endpoints["one"]
        assert endpoint.is_backing_off(system_clock()) is (status == 503)

    with_entries(main, Backend("one"), peers=[peer])


RESPONSES = {
    **{f"unmarked_{n}": signed_response(n, b"ran") for n in UNMARKED_STATUSES},
    **{
        f"marked_{n}": signed_response(n, b"", b"q1", NOT_EXECUTED)
        for n in (400, 408, 421, 429, 503)
    },
    "other_instance": signed_response(421, b"other"),
    "marked_success": signed_response(200, b"odd", b"q1", NOT_EXECUTED),
    "marked_failure": signed_response(500, b"odd", b"q1", NOT_EXECUTED),
    "marked_late": signed_response(504, b"odd", b"q1", NOT_EXECUTED),
    "failed": signed_response(500, b"failed"),
    "lost": None,
}
DID_NOT_RUN = {"other_instance", *(f"marked_{n}" for n in (400, 408, 421, 429, 503))}


def check_promise(sent, status, headers):
    """Check the response to a non-idempotent request after what endpoints sent."""
    n_runs = sum(name not in DID_NOT_RUN for name in sent)
    assert n_runs <= 1
    assert not (n_runs and status in REFUSAL_STATUSES)
    if find_header(headers, b"x-response-signature") is not None:
        assert b" %d " % status in (RESPONSES[sent[-1]] or b"")


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize(("first", "second"), [*product(RESPONSES, RESPONSES)])
def test_refusals_of_non_idempotent_requests_are_true(
    with_path, with_entries, first, second, is_relayed
):
    """Guards against a status that promises "not executed" after any two attempts of
    which one may have run, on the entry's own path and through a peer."""
    sent = []

    def respond(data):
        sent.append((first, second)[min(len(sent), 1)])
        return RESPONSES[sent[-1]]

    async def own(path, *backends):
        response = await path.get(b"POST")
        check_promise(sent, response.status, response.headers)

    async def through_peer(passing, reaching, *backends):
        status, headers, _, _ = await exchange(passing, request())
        check_promise(sent, status, headers)

    backends = [Backend(name, respond) for name in ("one", "two")]
    run = with_entries if is_relayed else with_path
    run(through_peer if is_relayed else own, *backends, is_idempotent=False)


@pytest.mark.parametrize("status", [429, 503])
def test_request_that_may_be_repeated_gets_the_response_of_its_endpoint(
    with_path, status
):
    """Guards against a lost retry, and a changed response, of an idempotent request."""

    async def main(path, *backends):
        response = await path.get()
        assert (response.status, response.body) == (status, b"failed")
        assert find_header(response.headers, b"x-response-signature") == b"s"
        n_sent = sum(len(backend.requests) for backend in backends)
        assert n_sent == (2 if status == 503 else 1)

    with_path(main, *(Backend(name, unmarked(status)) for name in ("one", "two")))
