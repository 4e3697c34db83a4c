"""An entry whose own network link is slow and carries large bodies."""

import socket as sockets

import curio

from pollenfold.core.link import Link
from pollenfold.gateway.outgoing import outgoing_request
from pollenfold.gateway.pool import ConnectionPool
from pollenfold.observe.clock import system_clock

from .conftest import Backend

HEADERS = [(b"host", b"h.example")]


def with_sink_server(run, body):
    """Run ``body(port, arrivals)``; ``arrivals`` lists the time and size of each read
    of a server that only reads."""
    arrivals = []

    async def serve(client, address):
        async with client:
            while data := await client.recv(65536):
                arrivals.append((system_clock(), len(data)))

    async def main():
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
        await body(sock.getsockname()[1], arrivals)

    run(main)


def test_long_body_is_written_in_pieces_at_the_pace_of_the_link(run):
    """Guards against a send queue on a slow link that delays short requests."""

    async def body(port, arrivals):
        pool = ConnectionPool("127.0.0.1", port, 5, system_clock, Link(256.0))
        connection = await pool.acquire()
        await connection.wait_until_connected()
        started_at = system_clock()
        request = outgoing_request(b"POST", b"/", HEADERS, bytes(60_000))
        assert await connection.send(request)
        assert system_clock() - started_at >= 60_000 / 256.0
        await curio.sleep(0.05)
        assert sum(n for _, n in arrivals) > 60_000
        assert max(n for _, n in arrivals) <= 16 * 1024

    with_sink_server(run, body)


def test_short_request_does_not_wait_behind_a_long_one(run):
    """Load pattern: a lookup while an upload is forwarded over a slow link.

    Guards against a short request that waits until the upload has been sent.
    """

    async def body(port, arrivals):
        pool = ConnectionPool("127.0.0.1", port, 5, system_clock, Link(256.0))
        long, short = await pool.acquire(), await pool.acquire()
        await long.wait_until_connected()
        await short.wait_until_connected()
        upload = outgoing_request(b"POST", b"/", HEADERS, bytes(60_000))
        task = await curio.spawn(long.send, upload)
        await curio.sleep(0.02)
        started_at = system_clock()
        assert await short.send(outgoing_request(b"GET", b"/", HEADERS, b""))
        assert system_clock() - started_at < 50.0
        await task.cancel()

    with_sink_server(run, body)


def test_probe_waits_for_the_backlog_of_the_own_link(with_path):
    """Guards against an endpoint considered unreachable because its probe response was
    queued behind an upload on the entry's own link."""
    backend = Backend("s1", check_delay_ms=60.0)

    async def body(path, backend):
        path.link.record_received(60 * 256, system_clock())
        assert (await path.get()).status == 200
        assert backend.n_checks == 1

    with_path(body, backend, link=Link(256.0))


def test_transfer_time_is_not_counted_as_work(with_path):
    """Guards against a work estimate that includes transfer time of large bodies."""
    backend = Backend("s1", delay_ms=20.0)

    async def body(path, backend):
        for _ in range(20):
            response = await path.get(b"POST", body=bytes(20_000))
            assert response.status == 200
        work_estimate = path.forwarder._call_factory._work_estimates["r1"]
        assert work_estimate.get() < 65.0

    with_path(body, backend, link=Link(256.0))


async def slow_from_to(backend, from_s, to_s):
    await curio.sleep(from_s)
    backend.load = b"0,0,6,700"
    await curio.sleep(to_s - from_s)
    backend.load = b"0,0,6,100"


async def send_while_slow(path, backend, from_s, to_s):
    """Return the ms until a large request had arrived at a backend that slows down."""
    started_at = system_clock()
    await curio.spawn(slow_from_to, backend, from_s, to_s, daemon=True)
    response = await path.get(b"POST", body=bytes(40_000), deadline=b"3000")
    assert response.status == 200
    return backend.arrived_at - started_at


def test_end_of_a_long_request_waits_while_its_endpoint_is_slow(with_path):
    """Load pattern: uploads over a slow link to endpoints whose speed changes.

    Guards against a request that is executed at a seventh of the speed, because the
    load was probed before the body was sent.
    """
    backend = Backend("s1")

    async def body(path, backend):
        arrival_ms = await send_while_slow(path, backend, 0.1, 0.45)
        assert 450.0 <= arrival_ms <= 650.0

    with_path(body, backend, link=Link(256.0), target_latency_ms=1_500.0)


def test_end_of_a_long_request_is_not_held_past_its_target(with_path):
    """Guards against a request that waits too long for an endpoint that stays slow."""
    backend = Backend("s1")

    async def body(path, backend):
        assert await send_while_slow(path, backend, 0.1, 5.0) <= 700.0

    with_path(
        body, backend, link=Link(256.0), target_latency_ms=800.0, timeout_ms=3_000.0
    )


def test_held_request_ends_when_its_caller_disconnects(with_path):
    """Guards against the execution of a held request whose caller has disconnected."""
    backend = Backend("s1")

    async def body(path, backend):
        await curio.spawn(slow_from_to, backend, 0.1, 5.0, daemon=True)
        caller, entry = sockets.socketpair()
        with caller, entry:
            task = await curio.spawn(
                path.get, b"POST", b"3000", bytes(40_000), entry.fileno()
            )
            await curio.sleep(0.4)
            caller.close()
            assert await task.join() is None
        await curio.sleep(0.05)
        assert not backend.requests

    with_path(
        body,
        backend,
        link=Link(256.0),
        target_latency_ms=2_000.0,
        timeout_ms=3_000.0,
        is_idempotent=False,
    )


def test_short_request_is_not_held_back(with_path):
    """Guards against an extra round trip for short requests."""
    backend = Backend("s1")

    async def body(path, backend):
        assert (await path.get(b"POST", body=bytes(4_000))).status == 200
        assert backend.n_checks == 1

    with_path(body, backend, link=Link(256.0))


def test_search_continues_while_the_link_is_full_of_request_bodies(with_path):
    """Load pattern: a lookup while several callers send uploads over a slow link.

    Guards against a refusal for lack of a backend server when the full link delays all
    probe responses.
    """
    backend = Backend("s1", check_delay_ms=250.0)

    async def body(path, backend):
        assert (await path.get()).status == 200

    with_path(body, backend, link=Link(256.0), timeout_ms=2_000.0)
