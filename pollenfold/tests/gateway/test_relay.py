"""Requests that one entry relays to another one, on real connections."""

import curio
import h11
import pytest

from pollenfold.core.errors import ErrorKind
from pollenfold.gateway.relay.client import RelayOutcome
from pollenfold.http.messages import Request, find_header
from pollenfold.observe.clock import system_clock
from pollenfold.testing.ports import unused_port
from pollenfold.tests.gateway.conftest import Backend, signed_response
from pollenfold.tests.gateway.relaying import Entry, FakePeer
from pollenfold.tests.gateway.test_long_bodies import LongBackend

HEAD = (
    b"%s /x/1?a=b HTTP/1.1\r\nhost: h.example\r\nx-request-id: q1\r\n"
    b"x-deadline-ms: %d\r\nx-other: kept\r\n"
)

POST = Request(
    b"POST", b"/x/1", [(b"host", b"h.example"), (b"x-request-id", b"q1")], b""
)


def request(method=b"POST", deadline_ms=2_000, body=b"body", extra=b""):
    length = b"content-length: %d\r\n" % len(body)
    return HEAD % (method, deadline_ms) + extra + length + b"\r\n" + body


@pytest.fixture
def with_entries(run):
    """Return a function that runs ``body(passing, reaching, *backends)``.

    Both entries know each other and the backends. The passing one relays everything.
    Stand-ins among ``peers`` are tried before the reaching entry.
    """

    def run_body(body, *backends, peers=(), **route_changes):
        async def main():
            port = unused_port()
            passing = Entry(2, port, **route_changes)
            reaching = Entry(3, port, **route_changes)
            for peer in peers:
                peer.port = port
                await peer.start()
            for entry in (passing, reaching):
                await entry.start()
            for backend in backends:
                await backend.start()
                passing.announce(backend)
                reaching.announce(backend)
            passing.know(*(peer.peer for peer in peers), reaching.peer)
            reaching.know(passing.peer)
            await body(passing, reaching, *backends)

        run(main)

    return run_body


async def read_response(sock):
    """Return status, headers and body of a response, and whether it was complete."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    status, headers, body = 0, [], b""
    async with curio.timeout_after(8):
        while True:
            try:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await sock.recv(65536))
                    continue
            except (OSError, h11.RemoteProtocolError):
                return status, headers, body, False
            if type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.Response:
                status, headers = event.status_code, list(event.headers)
            else:
                return status, headers, body, type(event) is h11.EndOfMessage


async def send(entry, data):
    sock = await entry.connect()
    await sock.sendall(data)
    return sock


async def exchange(entry, data):
    return await read_response(await send(entry, data))


def sent_deadline_ms(data):
    return int(data.split(b"x-deadline-ms: ")[1].split(b"\r")[0])


def test_request_that_must_not_be_repeated_is_served_once_through_a_peer(with_entries):
    """Guards against callers of an entry that lost its links to all servers who get no
    service although other entries have room."""

    async def body(passing, reaching, backend):
        status, headers, content, is_complete = await exchange(passing, request())
        assert (status, content, is_complete) == (200, b"whole", True)
        assert find_header(headers, b"x-response-signature") == b"s"
        assert find_header(headers, b"x-odd") == b"as sent"
        assert not [name for name, _ in headers if name.startswith(b"pollenfold-")]
        assert len(backend.requests) == 1
        sent = backend.requests[0]
        assert sent.startswith(b"POST /x/1?a=b HTTP/1.1\r\n")
        assert sent.endswith(b"\r\n\r\nbody")
        assert b"x-request-id: q1\r\n" in sent
        assert b"x-other: kept\r\n" in sent
        assert b"x-expected-instance: one\r\n" in sent
        assert b"pollenfold" not in sent
        (result,) = passing.results
        assert result.outcome is RelayOutcome.RESPONDED
        assert result.endpoint_id == "one"
        assert (result.reached, result.peer_in_flight) == (True, 1)
        assert passing.calls[0].n_sends() == 1
        (line,) = passing.logged("request_relayed")
        assert "peer=e3" in line and "endpoint=one" in line

    def respond(data):
        return signed_response(200, b"whole", b"q1", b"x-odd: as sent")

    with_entries(body, Backend("one", respond))


def test_request_arrives_with_the_time_that_is_left(with_entries):
    """Guards against a deadline that starts anew at the peer."""

    async def body(passing, reaching, backend):
        passing.delay_ms = 300.0
        assert (await exchange(passing, request(deadline_ms=2_000)))[0] == 200
        assert 1_000 < sent_deadline_ms(backend.requests[0]) <= 1_700

    with_entries(body, Backend("one"))


def test_response_at_the_deadline_is_that_of_the_peer(with_entries):
    """Guards against a request that is held beyond its time, and against an outcome
    that is claimed to be known."""

    async def body(passing, reaching, backend):
        started_at = system_clock()
        status, headers, *_ = await exchange(passing, request(deadline_ms=400))
        assert status == 504
        assert find_header(headers, b"pollenfold-run-state") == b"outcome_unknown"
        assert system_clock() - started_at < 400 + 250
        (result,) = passing.results
        assert result.outcome is RelayOutcome.EXPIRED
        assert len(backend.requests) == 1

    with_entries(body, Backend("one", delay_ms=5_000))


def test_close_of_the_caller_reaches_the_server(with_entries):
    """Guards against servers that work on for callers that are gone, because the close
    ends at the passing entry."""

    async def body(passing, reaching, backend):
        sock = await send(passing, request(b"GET", body=b""))
        while not backend.requests:
            await curio.sleep(0.005)
        await sock.close()
        closed_at = system_clock()
        # The backend reads nothing while it works, so its connection tells.
        while reaching.gateway.peer_port.server.n_in_flight:
            assert system_clock() - closed_at < 450
            await curio.sleep(0.005)
        assert reaching.logged("request_done")[0].count("kind=caller_gone") == 1
        backend.delay_ms = 0.0
        while backend.clients[0] in backend.connections:
            await curio.sleep(0.005)
        assert len(backend.requests) == 1

    with_entries(body, Backend("one", delay_ms=1_000), is_idempotent=True)


def test_request_that_must_not_be_aborted_is_completed_by_the_peer(with_entries):
    """Guards against a request that is aborted half done, and against a passing entry
    that holds a connection for a caller that is gone."""

    async def body(passing, reaching, backend):
        sock = await send(passing, request())
        while not backend.requests:
            await curio.sleep(0.005)
        await sock.close()
        closed_at = system_clock()
        while passing.server.n_in_flight:
            assert system_clock() - closed_at < 200
            await curio.sleep(0.005)
        while reaching.gateway.peer_port.server.n_in_flight:
            await curio.sleep(0.005)
        # Checks of the path open and close connections of their own.
        assert backend.clients[0] in backend.connections
        (line,) = reaching.logged("request_done")
        assert "status=200" in line and "from_peer=True" in line

    with_entries(body, Backend("one", delay_ms=600))


def test_request_of_a_caller_that_is_gone_is_not_relayed(with_entries):
    """Guards against requests that reach a server after their caller closed."""

    async def body(passing, reaching, backend):
        passing.delay_ms = 200.0
        sock = await send(passing, request())
        while not passing.calls:
            await curio.sleep(0.005)
        await sock.close()
        await curio.sleep(0.4)
        assert backend.requests == []

    with_entries(body, Backend("one"))


def test_long_upload_is_passed_on_in_windows(with_entries):
    """Guards against a body that a passing entry holds completely, changes or sends a
    second time."""
    content = bytes(range(256)) * 4096

    async def body(passing, reaching, backend):
        data = request(deadline_ms=3_000, body=content)
        sock = await send(passing, data[: len(data) - 400_000])
        async with curio.timeout_after(2):
            while not backend.bodies or len(backend.bodies[0]) < 300_000:
                await curio.sleep(0.01)
        await sock.sendall(data[len(data) - 400_000 :])
        assert (await read_response(sock))[0] == 200
        assert [bytes(received) for received in backend.bodies] == [content]
        assert passing.calls[0].is_body_streamed

    with_entries(body, LongBackend("one"))


def test_upload_whose_caller_stops_has_an_unknown_outcome(with_entries):
    """Guards against a partly sent upload that is reported as not run."""

    async def body(passing, reaching, backend):
        data = request(deadline_ms=500, body=b"x" * 1_000_000)
        status, headers, *_ = await read_response(await send(passing, data[:600_000]))
        assert status == 504
        assert find_header(headers, b"pollenfold-run-state") == b"outcome_unknown"

    with_entries(body, LongBackend("one"))


class StreamingBackend(LongBackend):
    """Sends a long response in two halves; the second one only when told, or never."""

    content = bytes(range(256)) * 4096
    is_cut = False

    def __init__(self, name):
        super().__init__(name)
        self.may_finish = curio.Event()

    async def _read_body(self, client, data):
        head = b"HTTP/1.1 200 X\r\nx-request-id: q1\r\nx-response-signature: s\r\n"
        head += b"content-length: %d\r\n\r\n" % len(self.content)
        middle = len(self.content) // 2
        await client.sendall(head + self.content[:middle])
        await self.may_finish.wait()
        if not self.is_cut:
            await client.sendall(self.content[middle:])


@pytest.mark.parametrize("is_cut", [False, True])
def test_long_response_is_streamed_and_complete_or_visibly_truncated(
    with_entries, is_cut
):
    """Guards against a long response that entries hold completely, or that looks
    complete although it broke off."""

    async def body(passing, reaching, backend):
        backend.is_cut = is_cut
        sock = await send(passing, request(deadline_ms=3_000))
        data = b""
        while len(data) < 400_000:
            data += await sock.recv(65536)
        await backend.may_finish.set()
        if is_cut:
            with pytest.raises(ConnectionResetError):
                while piece := await sock.recv(65536):
                    data += piece
            return
        while not data.endswith(backend.content[-1000:]) or len(data) < 1 << 20:
            data += await sock.recv(65536)
        assert data.split(b"\r\n\r\n", 1)[1] == backend.content
        peer_states = passing.gateway.relay_client._questions._states
        await curio.sleep(0.05)
        assert [state.pool.n_idle for state in peer_states.values()] == [1]

    with_entries(body, StreamingBackend("one"))


@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("mode", ["reset", "hang"])
def test_lost_hop_is_an_unknown_outcome_unless_it_may_be_repeated(
    with_entries, mode, is_idempotent
):
    """Guards against a request that runs twice because the hop to a peer was lost, and
    against one that waits for a peer that hangs although another one has room."""
    fake = FakePeer(4, 0, mode)

    async def body(passing, reaching, backend):
        started_at = system_clock()
        status, headers, *_ = await exchange(
            passing, request(b"POST", deadline_ms=1_500)
        )
        assert len(fake.requests) == 1
        first = passing.results[0]
        if is_idempotent:
            assert first.outcome is RelayOutcome.LOST
            assert status == 200
            assert len(backend.requests) == 1
            assert system_clock() - started_at < 1_400
            return
        is_lost = mode == "reset"
        assert status == (502 if is_lost else 504)
        assert find_header(headers, b"pollenfold-run-state") == b"outcome_unknown"
        assert first.outcome is (RelayOutcome.LOST if is_lost else RelayOutcome.EXPIRED)
        assert len(passing.results) == 1
        assert backend.requests == []
        assert system_clock() - started_at < 1_500 + 250

    with_entries(body, Backend("one"), peers=[fake], is_idempotent=is_idempotent)


def test_peer_that_hung_before_is_not_given_up(with_entries):
    """Guards against a request that is given up because of questions which its peer
    left unanswered before the request was sent."""

    async def body(passing, reaching, backend):
        assert (await exchange(passing, request()))[0] == 200
        backend.delay_ms = 800
        questions = passing.gateway.relay_client._questions
        for _ in range(3):
            questions._record(questions._state(reaching.peer), None)
        assert (await exchange(passing, request()))[0] == 200
        assert len(backend.requests) == 2
        assert [result.outcome for result in passing.results] == [
            RelayOutcome.RESPONDED,
            RelayOutcome.RESPONDED,
        ]

    with_entries(body, Backend("one"), is_idempotent=True)


def test_peer_that_did_not_run_a_request_leads_to_another_one(with_entries):
    """Guards against a refusal although another peer has room, and against a second
    run."""
    fake = FakePeer(4, 0, "refuse")

    async def body(passing, reaching, backend):
        status, *_ = await exchange(passing, request())
        assert status == 200
        assert [len(fake.requests), len(backend.requests)] == [1, 1]
        outcomes = [result.outcome for result in passing.results]
        assert outcomes == [RelayOutcome.NOT_STARTED, RelayOutcome.RESPONDED]

    with_entries(body, Backend("one"), peers=[fake])


@pytest.mark.parametrize(("is_cut", "reached"), [(False, None), (True, False)])
def test_refusal_of_the_peer_names_its_kind(with_entries, is_cut, reached):
    """Guards against a passing entry that takes a peer's refusal for one of an
    endpoint, or a request that didn't run for one whose outcome is unknown, or a peer
    that found no endpoint for a moment for one that is cut off."""

    async def body(passing, reaching):
        reaching.gateway.monitor.reach.is_cut = is_cut
        status, headers, *_ = await exchange(passing, request())
        assert status == 503
        assert find_header(headers, b"pollenfold-run-state") == b"did_not_run"
        (result,) = passing.results
        assert result.outcome is RelayOutcome.NOT_STARTED
        assert result.error_kind is ErrorKind.NO_BACKEND_SERVER
        assert (result.endpoint_id, result.reached) == ("", reached)
        assert not passing.calls[0].may_have_executed

    with_entries(body)


def test_peer_without_a_listener_is_unreachable(with_entries):
    """Guards against a request that counts as sent though no byte of it was."""

    async def body(passing, reaching, backend):
        passing.view.peer_directory.apply({"a": {"e4": "127.0.0.4"}}, "e2")
        passing.view.peer_directory.remove(["e3"])
        status, headers, *_ = await exchange(passing, request())
        assert status == 503
        (result,) = passing.results
        assert result.outcome is RelayOutcome.UNREACHABLE
        assert passing.calls[0].n_sends() == 0

    with_entries(body, Backend("one"))


def test_request_is_not_sent_on_a_connection_that_has_gone_silent(with_entries):
    """Guards against requests whose outcome is unknown because an idle connection to a
    peer carries nothing any more, while a new one would."""
    fake = FakePeer(4, 0, "silent")

    async def body(passing, reaching):
        passing.view.peer_directory.remove(["e3"])
        report = await passing.gateway.relay_client.ask_reach(fake.peer)
        assert report.services == {"s"}
        await curio.sleep(0.15)
        call = passing.gateway.forwarder._create_call(POST, None)
        started_at = system_clock()
        connection = await passing.gateway.relay_client._questions.connect(
            fake.peer, call.deadline
        )
        assert connection is not None
        assert system_clock() - started_at < 450
        assert fake.n_connections == 2

    with_entries(body, peers=[fake])


def test_server_that_leaves_gets_nothing_more_from_the_passing_entry(with_entries):
    """Guards against requests to a server whose notice of leaving this entry has passed
    on to a caller."""

    def respond(data):
        return signed_response(200, b"whole", b"q1", b"server-leaving: 1")

    async def body(passing, reaching, backend):
        assert (await exchange(passing, request()))[0] == 200
        for entry in (passing, reaching):
            assert entry.view.is_leaving(entry.view.endpoints["one"])

    with_entries(body, Backend("one", respond))


def test_limit_of_a_server_holds_at_the_passing_entry(with_entries):
    """Guards against an entry that, back on its own path, sends a server more than the
    server declared."""

    def respond(data):
        return signed_response(200, b"whole", b"q1", b"server-limit: 3.5")

    async def body(passing, reaching, backend):
        assert (await exchange(passing, request()))[0] == 200
        for entry in (passing, reaching):
            assert entry.view.endpoints["one"].declared_limit.rate_per_s == 3.5

    with_entries(body, Backend("one", respond))


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_back_off_of_a_server_holds_at_the_passing_entry(with_entries, is_idempotent):
    """Guards against an entry that, back on its own path, sends a server requests
    before the end of the back-off that the server asked for."""

    def respond(data):
        return signed_response(503, b"busy", b"q1", b"retry-after: 2")

    async def body(passing, reaching, backend):
        status, headers, content, _ = await exchange(passing, request())
        if is_idempotent:
            assert (status, content) == (503, b"busy")
        else:
            # The server didn't mark its refusal, so the request may have run.
            assert status == 502
            assert find_header(headers, b"pollenfold-run-state") == b"outcome_unknown"
        for entry in (passing, reaching):
            assert entry.view.endpoints["one"].is_backing_off(system_clock())

    with_entries(body, Backend("one", respond), is_idempotent=is_idempotent)


@pytest.mark.parametrize("is_acquired", [False, True])
def test_attempts_and_retries_are_counted_once(with_entries, is_acquired):
    """Guards against more attempts or retries than permitted because each entry counts
    only its own, and against a retry that two entries count."""
    fake = FakePeer(4, 0, "reset")

    async def body(passing, reaching, *backends):
        passing.is_retry_acquired = is_acquired
        status, *_ = await exchange(passing, request(b"GET", body=b""))
        # The first hop was lost, so the refusal of a server isn't the whole outcome.
        assert status == 502
        # One of the two attempts was used up by the first peer.
        assert sum(len(backend.requests) for backend in backends) == 1
        assert passing.calls[0].n_sends() == 2
        metrics = reaching.gateway.metrics
        assert metrics.get("retries_total", service="s") == int(not is_acquired)
        assert passing.gateway.metrics.get("retries_total", service="s") == 0
        assert not passing.calls[0].is_retry_acquired

    refusal = signed_response(503, b"full", b"q1", b"x-not-executed: 1")
    backends = [Backend(name, lambda data: refusal) for name in ("one", "two")]
    with_entries(body, *backends, peers=[fake], is_idempotent=True)


def test_answer_that_is_used_again_keeps_its_time(run):
    """Guards against a report from before the failures of an entry that counts as one
    from after them, so that servers that ended look like a cut."""

    async def main():
        port = unused_port()
        entry = Entry(2, port)
        peer = FakePeer(3, port)
        await peer.start()
        entry.know(peer.peer)
        monitor = entry.gateway.monitor
        await monitor._ask(peer.peer)
        await curio.sleep(0.05)
        failed_at = system_clock()
        await monitor._ask(peer.peer)
        assert peer.n_questions == 1
        now = system_clock()
        assert monitor.peer_table.reaches("e3", "s", now)
        assert not monitor.peer_table.reaches("e3", "s", now, failed_at)

    run(main)
