"""A planned stop under load aborts no request."""

import curio

from pollenfold.entry.daemon import drain
from pollenfold.http import server
from pollenfold.http.client import HttpConnection
from pollenfold.testing.response_bodies import check_response_body
from pollenfold.tests.entry.conftest import HOST, wait_until


def test_planned_stop_under_load_aborts_no_request(call_path):
    """Guards against a stop that loses requests in flight or unstored outcomes."""

    async def main(path):
        path.ledger_timeout_ms = 3000.0
        await path.add_server(service_ms=30)
        stopping = await path.add_entry("entry-1")
        other = await path.add_entry("entry-2")
        assert await stopping.health_status() == 200
        keys = []

        async def call(number):
            """Send until the port closes; half of the callers keep their connection."""
            caller = stopping.caller() if number < 3 else stopping
            for n in range(1000):
                key = f"{number}-{n}" if number % 2 else None
                try:
                    reply = await caller.send(
                        "POST" if key else "GET", key=key, x_request_id=f"{number}-{n}"
                    )
                except OSError:
                    return
                assert reply.status == 200, reply
                assert (
                    check_response_body(reply.body, f"{number}-{n}", key or "") is None
                )
                if key:
                    keys.append(key)

        async with curio.TaskGroup() as group:
            for number in range(6):
                await group.spawn(call, number)
            await wait_until(lambda: len(keys) >= 10)
            stop = await curio.spawn(drain, stopping, stopping.callers, 200.0)
            await wait_until(lambda: stopping.is_stopping)
            n_before = len(keys)
            assert await stopping.health_status() == 503
            await wait_until(lambda: len(keys) > n_before)
            await stop.join()
        assert stopping.callers.n_in_flight == 0
        assert stopping.actions.n_storing == 0
        n_runs = path.n_runs
        for key in keys:
            reply = await other.send("POST", key=key)
            assert reply.headers["pollenfold-replayed"] == "true"
        assert path.n_runs == n_runs

    call_path(main, timeout_ms=5000.0)


def test_stop_waits_for_a_request_that_is_still_arriving(call_path):
    """Guards against a stop that drops a request whose body has only partly arrived."""

    async def main(path):
        await path.add_server()
        entry = await path.add_entry()
        sock = await curio.open_connection(HOST, entry.port)
        await sock.sendall(
            b"POST /market/a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
        )
        await curio.sleep(0.05)
        stop = await curio.spawn(drain, entry, entry.callers, 20.0)
        await curio.sleep(0.2)
        assert not stop.terminated
        await sock.sendall(b"cd")
        assert (await sock.recv(10_000)).startswith(b"HTTP/1.1 200")
        await stop.join()
        assert path.n_runs == 1

    call_path(main)


def test_caller_that_stops_sending_does_not_hold_up_the_stop(call_path):
    """Guards against a stop that waits endlessly for the rest of a request."""

    async def main(path):
        entry = await path.add_entry()
        sock = await curio.open_connection(HOST, entry.port)
        await sock.sendall(
            b"POST /market/a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
        )
        idle = await HttpConnection.open(HOST, entry.port)
        await curio.sleep(0.05)
        async with curio.timeout_after(5):
            await drain(entry, entry.callers, 0.0)
        await wait_until(idle.is_stale)
        await sock.close()

    call_path(main)


def test_stop_waits_for_long_requests(call_path, monkeypatch):
    """Guards against a stop that applies the limit for unfinished reads to requests
    that are being executed."""
    monkeypatch.setattr(server, "PARTIAL_REQUEST_WAIT_MS", 20.0)

    async def main(path):
        backend = await path.add_server(service_ms=400)
        entry = await path.add_entry()
        task = await curio.spawn(entry.send)
        await wait_until(lambda: backend.n_in_flight)
        await drain(entry, entry.callers, 0.0)
        assert backend.counts.n_completed == 1
        assert (await task.join()).status == 200

    call_path(main)
