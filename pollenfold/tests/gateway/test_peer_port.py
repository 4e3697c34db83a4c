"""The port for peers: who may use it, what it answers, and what callers may forge."""

import json

import curio
import pytest
from curio import socket

from pollenfold.gateway.calls import CallFactory
from pollenfold.gateway.relay.headers import (
    RELAY_HEADERS,
    RELAY_REQUEST,
    RELAY_RESPONSE,
    RelayedRequest,
    RelayNotice,
    decode_relay_notice,
    decode_relayed_request,
    encode_relay_notice,
    encode_relayed_request,
)
from pollenfold.http.messages import Request, find_header
from pollenfold.observe.clock import system_clock
from pollenfold.platform.headers import DIALECT
from pollenfold.testing.ports import unused_port
from pollenfold.tests.gateway.conftest import Backend, signed_response
from pollenfold.tests.gateway.relaying import (
    Entry,
    FakePeer,
    configuration,
)
from pollenfold.tests.gateway.test_long_bodies import LongBackend
from pollenfold.tests.gateway.test_relay import exchange, read_response, request

RELAYED = RelayedRequest("s", 120.5, 1, True, True, 1, True)
VALUE = encode_relayed_request(RELAYED)
FORGED = RELAY_REQUEST + b": " + VALUE + b"\r\n"
NOTICE = RelayNotice(True, "i-1", 1_700_000_000_000, 2, 5, False)


async def connect_from(source_host, entry):
    """Return a connection to the peer port of an entry from another address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.bind((source_host, 0))
    await sock.connect((entry.host, entry.relay_port))
    return sock


async def start_entry(number=3, **route_changes):
    entry = Entry(number, unused_port(), **route_changes)
    await entry.start()
    return entry


def test_strangers_are_refused_on_the_peer_port(run):
    """Guards against requests of strangers that are trusted as those of an entry."""

    async def main():
        backend = Backend("one")
        await backend.start()
        entry = await start_entry()
        entry.announce(backend)
        peer = Entry(2, entry.relay_port).peer
        stranger = await connect_from("127.0.0.2", entry)
        try:
            await stranger.sendall(request(extra=FORGED))
            assert await stranger.recv(100) == b""
        except ConnectionError:
            pass
        assert backend.requests == []
        metrics = entry.gateway.metrics
        assert metrics.get("peer_connections_refused_total") == 1
        assert "host=127.0.0.2" in entry.logged("peer_connection_refused")[0]
        entry.know(peer)
        sock = await connect_from("127.0.0.2", entry)
        await sock.sendall(request(extra=FORGED))
        assert (await read_response(sock))[0] == 200
        entry.view.peer_directory.remove([peer.entry_id])
        late = await connect_from("127.0.0.2", entry)
        with pytest.raises(ConnectionError):
            await late.sendall(request(extra=FORGED))
            while await late.recv(100):
                pass
            raise ConnectionError
        assert len(backend.requests) == 1

    run(main)


def test_forged_relay_header_of_a_caller_changes_nothing(run):
    """Guards against callers that exempt their requests from the retry budget, from
    being relayed or from the route's share of attempts."""

    async def main():
        backend = Backend("one")
        await backend.start()
        entry = await start_entry(max_attempts=3)
        entry.announce(backend)
        calls = []
        create_call = entry.gateway.forwarder._call_factory.create_call

        def record_call(*arguments):
            calls.append(create_call(*arguments))
            return calls[-1]

        entry.gateway.forwarder._call_factory.create_call = record_call
        port = await entry.gateway.caller_server.start_on(
            entry.gateway.settings.caller_listener
        )
        sock = await curio.open_connection(entry.host, port)
        forged_response = RELAY_RESPONSE + b": " + encode_relay_notice(NOTICE) + b"\r\n"
        await sock.sendall(request(extra=FORGED + forged_response))
        status, headers, *_ = await read_response(sock)
        assert status == 200
        assert not {name for name, _ in headers} & RELAY_HEADERS
        (call,) = calls
        assert (call.is_relayed, call.is_repeat, call.max_attempts) == (False, False, 3)
        assert b"pollenfold-relay" not in backend.requests[0]

    run(main)


def test_forged_header_isnt_passed_on_to_a_peer(run):
    """Guards against a caller's header that takes the place of the passing entry's."""

    async def main():
        fake = FakePeer(4, 0, "refuse")
        entry = await start_entry(2)
        fake.port = entry.relay_port
        await fake.start()
        entry.know(fake.peer)
        await exchange(entry, request(extra=FORGED))
        (sent,) = fake.requests
        assert sent.count(RELAY_REQUEST) == 1
        assert VALUE not in sent

    run(main)


def test_notice_of_a_server_is_replaced_by_that_of_the_entry(run):
    """Guards against a server that speaks to the passing entry in the peer's name."""

    def respond(data):
        value = RELAY_RESPONSE + b": " + encode_relay_notice(NOTICE)
        return signed_response(200, b"whole", b"q1", value)

    async def main():
        backend = Backend("one", respond)
        await backend.start()
        entry = await start_entry()
        entry.announce(backend)
        entry.know(Entry(2, entry.relay_port).peer)
        sock = await connect_from("127.0.0.2", entry)
        await sock.sendall(request(extra=FORGED))
        _, headers, *_ = await read_response(sock)
        notices = [value for name, value in headers if name == RELAY_RESPONSE]
        assert len(notices) == 1
        notice = decode_relay_notice(headers)
        assert (notice.endpoint_id, notice.born_ms, notice.n_sends) == ("one", 1000, 1)

    run(main)


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (RELAY_REQUEST + b": {}\r\n", b"400"),
        (RELAY_REQUEST + b": " + b"[" * 1_500 + b"\r\n", b"400"),
        (b"", b"404"),
    ],
)
def test_malformed_relayed_request_is_refused(run, sent, status):
    """Guards against a request on the peer port that is handled as one of a caller."""

    async def main():
        entry = await start_entry()
        entry.know(Entry(2, entry.relay_port).peer)
        sock = await connect_from("127.0.0.2", entry)
        await sock.sendall(request(extra=sent))
        data = await sock.recv(65536)
        assert data.split(b" ")[1] == status
        assert b"pollenfold-run-state: did_not_run" in data

    run(main)


def test_head_at_the_callers_limit_passes_the_hop(run):
    """Guards against requests that callers may send and that peers refuse as too
    large, because of the headers between entries."""

    async def main():
        backend = Backend("one")
        await backend.start()
        passing = await start_entry(2)
        reaching = Entry(3, passing.relay_port)
        await reaching.start()
        reaching.announce(backend)
        passing.know(reaching.peer)
        reaching.know(passing.peer)
        padding = b"x-padding: " + b"p" * 15_900 + b"\r\n"
        assert (await exchange(passing, request(extra=padding)))[0] == 200

    run(main)


def test_one_answer_serves_all_requests_for_a_while(run):
    """Guards against a question to a peer for each request of a cut-off entry."""

    async def main():
        entry = await start_entry(2)
        fake = FakePeer(4, entry.relay_port, answer_delay_ms=30.0)
        await fake.start()
        client = entry.gateway.relay_client
        tasks = [await curio.spawn(client.ask_reach, fake.peer) for _ in range(20)]
        reports = [await task.join() for task in tasks]
        assert {(report.services, report.n_in_flight) for report in reports} == {
            (frozenset({"s"}), 3)
        }
        assert (fake.n_questions, fake.n_connections) == (1, 1)
        await curio.sleep(0.12)
        await client.ask_reach(fake.peer)
        assert (fake.n_questions, fake.n_connections) == (2, 1)

    run(main)


@pytest.mark.parametrize(("n_entries", "limit"), [(2, 64), (117, 13), (312, 4)])
def test_connections_of_all_entries_fit_one_peer(run, n_entries, limit):
    """Guards against entries that use up the file descriptors of the few that still
    reach endpoints."""

    async def main():
        entry = Entry(2, 1)
        entry.view.fleet.report(n_entries, system_clock())
        questions = entry.gateway.relay_client._questions
        assert questions._state(Entry(3, 1).peer).pool.limit == limit
        assert limit * n_entries < 2_000

    run(main)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"[]",
        b"[" * 30_000,
        b'{"services": ["s"]}',
        b'{"services": "s", "in_flight": 1}',
        b'{"services": [1], "in_flight": 1}',
        b'{"services": [], "in_flight": -1}',
        b'{"services": [], "in_flight": true}',
        b'{"services": [], "in_flight": 1' + b"0" * 400 + b"}",
        b'{"services": ["' + b"s" * 70_000 + b'"], "in_flight": 1}',
        b'{"services": ["' + b"s" * 300_000 + b'"], "in_flight": 1}',
    ],
)
def test_malformed_or_long_answer_is_none(run, answer):
    """Guards against an entry that ends, or fills its memory, because of one peer."""

    async def main():
        entry = await start_entry(2)
        fake = FakePeer(4, entry.relay_port, answer=answer)
        await fake.start()
        assert await entry.gateway.relay_client.ask_reach(fake.peer) is None

    run(main)


def test_peer_that_does_not_answer_is_given_up_soon(run):
    """Guards against requests that wait for a peer that hangs."""

    async def main():
        entry = await start_entry(2)
        fake = FakePeer(4, entry.relay_port, answer_delay_ms=10_000.0)
        await fake.start()
        started_at = system_clock()
        assert await entry.gateway.relay_client.ask_reach(fake.peer) is None
        assert system_clock() - started_at < 400

    run(main)


def test_entry_that_stops_reaches_nothing(run):
    """Guards against requests that are relayed to an entry that is about to end, and
    against giving up those that it still serves because it seems to hang."""

    async def main():
        backend = Backend("one", delay_ms=800.0)
        await backend.start()
        passing = await start_entry(2, is_idempotent=True)
        stopping = Entry(3, passing.relay_port, is_idempotent=True)
        await stopping.start()
        stopping.announce(backend)
        stopping.know(passing.peer)
        passing.know(stopping.peer)
        ask = passing.gateway.relay_client.ask_reach
        assert (await ask(stopping.peer)).services == {"s"}
        in_flight = await curio.spawn(exchange, passing, request())
        while not backend.requests:
            await curio.sleep(0.01)
        stopping.gateway.peer_port.announce_stop()
        await curio.sleep(0.12)
        assert (await ask(stopping.peer)).services == frozenset()
        assert (await in_flight.join())[0] == 200
        status, headers, *_ = await exchange(passing, request())
        assert status == 503
        assert find_header(headers, b"pollenfold-run-state") == b"did_not_run"
        assert len(backend.requests) == 1

    run(main)


def test_relayed_request_keeps_its_service_and_its_time():
    """Guards against a peer that draws the service of a split route again, or starts
    the latency target anew."""
    parts = configuration().hosts["h.example"][0].weighted_services
    assert [part.service for part in parts] == ["s"]
    route = configuration(max_attempts=4).hosts["h.example"][0]
    factory = CallFactory(DIALECT)
    headers = [(b"x-deadline-ms", b"500"), (RELAY_REQUEST, VALUE)]
    relayed = decode_relayed_request(headers)
    assert relayed == RELAYED
    request = Request(b"GET", b"/x/1", headers, b"")
    call = factory.create_call(request, b"q1", route, 1_000.0, relayed)
    assert (call.service, call.deadline, call.target_at) == ("s", 1_500.0, 1_120.5)
    assert (call.is_relayed, call.is_repeat, call.max_attempts) == (True, True, 1)
    assert call.is_retry_acquired
    assert call.headers == []
    # The shorter time of a relayed request says nothing about how old its caller is.
    own = Request(b"GET", b"/x/1", [(b"x-deadline-ms", b"400")], b"")
    assert factory.create_call(own, b"q2", route, 1_001.0).age_ms == 0.0


@pytest.mark.parametrize(
    "change",
    [
        {"is_from_endpoint": 1},
        {"endpoint": "e" * 300},
        {"endpoint": None},
        {"n_sends": -1},
        {"n_sends": 1e9},
        {"born_ms": 1 << 60},
        {"n_in_flight": "3"},
        {"is_reached": 0},
    ],
)
def test_malformed_notice_is_none(change):
    """Guards against a value of another type that a peer of a later version sends."""
    fields = json.loads(encode_relay_notice(NOTICE))
    headers = [(RELAY_RESPONSE, json.dumps(fields).encode())]
    assert decode_relay_notice(headers) == NOTICE
    headers = [(RELAY_RESPONSE, json.dumps({**fields, **change}).encode())]
    assert decode_relay_notice(headers) is None


@pytest.mark.parametrize(
    "change",
    [
        {"service": ""},
        {"service": 1},
        {"target_ms": float("inf")},
        {"target_ms": True},
        {"max_attempts": 1.5},
        {"is_repeat": 0},
        {"is_retry_acquired": None},
    ],
)
def test_malformed_relayed_request_is_none(change):
    """Guards against a value of another type that a peer of a later version sends."""
    fields = {**json.loads(VALUE), **change}
    headers = [(RELAY_REQUEST, json.dumps(fields).encode())]
    assert decode_relayed_request(headers) is None


class EndlessBackend(LongBackend):
    """Sends a response that fills all buffers on the way."""

    async def _read_body(self, client, data):
        head = b"HTTP/1.1 200 X\r\nx-request-id: q1\r\nx-response-signature: s\r\n"
        await client.sendall(head + b"content-length: 100000000\r\n\r\n")
        for _ in range(1_000):
            await client.sendall(b"x" * 100_000)


def test_passing_entry_that_reads_nothing_more_is_given_up(run):
    """Guards against a peer that holds a server's connection, and a part of the memory
    for bodies, for a passing entry that hangs."""

    async def main():
        backend = EndlessBackend("one")
        await backend.start()
        entry = await start_entry()
        entry.announce(backend)
        entry.know(Entry(2, entry.relay_port).peer)
        sock = await connect_from("127.0.0.2", entry)
        await sock.sendall(request(extra=FORGED, deadline_ms=600))
        started_at = system_clock()
        while not entry.gateway.peer_port.server.n_in_flight:
            await curio.sleep(0.01)
        while entry.gateway.peer_port.server.n_in_flight:
            assert system_clock() - started_at < 600 + 500
            await curio.sleep(0.01)
        assert entry.view.endpoints["one"].health.n_in_flight == 0

    run(main)
