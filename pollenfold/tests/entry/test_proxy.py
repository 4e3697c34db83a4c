"""Callers, late responses, deadlines and cancellation through one entry."""

import random

import curio
import pytest

from pollenfold.testing.response_bodies import check_response_body
from pollenfold.tests.entry.conftest import set_faults, wait_until


def response_bytes(body, *headers):
    """Return the bytes of a complete response."""
    head = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(head) + b"\r\n\r\n" + body


def test_many_callers_get_their_own_responses(call_path):
    """Guards against responses that reach the wrong caller when they are late,
    duplicated, truncated or out of order, and against a wrong ``did_not_run``."""

    async def main(path):
        # The ledger replicas sync to disk in the event loop of the test, which delays
        # claims; the ledger isn't what this test puts under load.
        path.ledger_timeout_ms = 3000.0
        for zone in "aab":
            await path.add_server(
                {"kind": "slow", "share": 0.2, "delay_ms": 40},
                {"kind": "late_answer", "share": 0.1, "delay_ms": 30},
                {"kind": "duplicated_answer", "share": 0.05, "delay_ms": 15},
                {"kind": "truncated_answer", "share": 0.05},
                {"kind": "close_after_run", "share": 0.03},
                {"kind": "shed", "share": 0.05},
                zone=zone,
                service_ms=2,
                jitter_sigma=0.5,
            )
        entry = await path.add_entry()
        n_complete = 0

        async def call(number):
            nonlocal n_complete
            caller = entry.caller()
            rng = random.Random(number)
            for n in range(12):
                request_id = f"{number}-{n}"
                key = request_id if rng.random() < 0.5 else None
                reply = await caller.send(
                    "POST" if key else "GET",
                    key=key,
                    body=b"x" * rng.randrange(2000),
                    x_request_id=request_id,
                )
                if reply.status == 200:
                    n_complete += 1
                    error = check_response_body(reply.body, request_id, key or "")
                    assert error is None, error
                else:
                    assert reply.error, reply
                if key and reply.run_state == "did_not_run":
                    assert n_runs(path, key) == 0
                assert not key or n_runs(path, key) <= 1
            await caller.close()

        async with curio.TaskGroup() as group:
            for number in range(30):
                await group.spawn(call, number)
        # About one request in ten is a lost POST; the other faults are retried.
        assert n_complete >= 30 * 12 * 0.75

    call_path(main, timeout_ms=10_000.0, retry_ratio=1.0)


def n_runs(path, key):
    return sum(server.counts.runs[key] for server in path.servers)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_duplicate_response_is_discarded(call_path, method):
    """Guards against a duplicate that is taken for the response to the next request on
    the same connection."""

    async def main(path):
        await path.add_server(
            {"kind": "duplicated_answer", "delay_ms": 30, "n_requests": 1}
        )
        entry = await path.add_entry()
        caller = entry.caller()
        for n in range(4):
            reply = await caller.send(method, x_request_id=f"r{n}")
            if reply.status == 200:
                assert check_response_body(reply.body, f"r{n}") is None
            else:
                assert reply.run_state == "outcome_unknown"
        assert reply.status == 200

    call_path(main)


def test_connection_closed_while_idle_is_not_used(call_path):
    """Guards against ``outcome_unknown`` for a request on a pooled connection that the
    server has already closed."""

    async def main(path):
        async def serve(client, address):
            await client.recv(10_000)
            await client.sendall(response_bytes(b"whole"))

        await path.add_scripted(serve)
        entry = await path.add_entry()
        for _ in range(3):
            reply = await entry.send("POST")
            assert (reply.status, reply.body) == (200, b"whole")
            await curio.sleep(0.05)

    call_path(main)


def test_remaining_time_is_forwarded(call_path):
    """Guards against a backend server that works past the caller's deadline."""

    async def main(path):
        received = []

        async def serve(client, address):
            while data := await client.recv(10_000):
                received.append(data.lower())
                await client.sendall(response_bytes(b"ok"))

        await path.add_scripted(serve)
        entry = await path.add_entry()
        for given, limit_ms in (("500", 500), ("900000", 2000), (None, 2000)):
            headers = {} if given is None else {"pollenfold_timeout_ms": given}
            assert (await entry.send(**headers)).status == 200
            forwarded = received[-1].split(b"pollenfold-timeout-ms: ")
            assert len(forwarded) == 2
            assert 0 < int(forwarded[1].split(b"\r\n")[0]) < limit_ms

    call_path(main)


async def send_and_disconnect(entry, method, after, **options):
    """Send a request and close the connection when ``after()`` holds."""
    caller = entry.caller()
    task = await curio.spawn(lambda: caller.send(method, **options))
    await wait_until(after)
    await caller.close()
    await task.cancel()


def test_idempotent_request_ends_with_its_caller(call_path):
    """Guards against work that continues after its caller disconnected."""

    async def main(path):
        server = await path.add_server(service_ms=1500)
        entry = await path.add_entry()
        await send_and_disconnect(entry, "GET", lambda: server.n_in_flight)
        await wait_until(lambda: server.counts.n_stopped_by_caller, timeout_s=1)
        assert server.counts.n_completed == 0
        assert entry.runtime.slots.n_in_flight == 0

    call_path(main)


def test_request_whose_caller_left_the_queue_is_not_sent(call_path):
    """Guards against work for a caller that disconnected while queued."""

    async def main(path):
        server = await path.add_server({"kind": "slow", "delay_ms": 200})
        entry = await path.add_entry()
        busy = await curio.spawn(entry.send)
        await wait_until(lambda: server.n_in_flight)
        await send_and_disconnect(entry, "GET", lambda: entry.runtime.slots.n_waiting)
        assert (await busy.join()).status == 200
        await wait_until(lambda: entry.runtime.slots.n_in_flight == 0)
        assert server.counts.n_received == 1

    call_path(main, slots_per_endpoint=1)


def test_non_idempotent_request_outlives_its_caller(call_path):
    """Guards against a lost outcome if the caller disconnects and resends its key."""

    async def main(path):
        server = await path.add_server(service_ms=200)
        entry = await path.add_entry()
        await send_and_disconnect(entry, "POST", lambda: server.n_in_flight, key="k1")
        await wait_until(lambda: server.counts.n_completed)
        await wait_until(lambda: not entry.callers.n_in_flight)
        await wait_until(lambda: not entry.actions.n_storing)
        reply = await entry.send("POST", key="k1")
        assert reply.status == 200 and reply.headers["pollenfold-replayed"] == "true"
        assert check_response_body(reply.body, key="k1") is None
        assert path.n_runs == 1

    call_path(main)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_server_that_stops_reading_ends_at_the_deadline(call_path, method):
    """Guards against a request that blocks indefinitely while it is being sent."""

    async def main(path):
        async def serve(client, address):
            await curio.sleep(60)

        await path.add_scripted(serve)
        entry = await path.add_entry()
        reply = await entry.send(method, body=b"x" * (12 << 20))
        assert reply.run_state == "outcome_unknown"
        assert reply.elapsed_ms < 3000
        assert entry.runtime.slots.n_in_flight == 0

    call_path(main, timeout_ms=500.0, max_body_bytes=16 << 20)


@pytest.mark.parametrize("path_name", ["/market/a", "/elsewhere"])
def test_head_request_gets_a_response_without_a_body(call_path, path_name):
    """Guards against a refusal with a body, which breaks the caller's connection."""

    async def main(path):
        entry = await path.add_entry()
        reply = await entry.send("HEAD", path_name)
        assert reply.status in (404, 503) and reply.body == b""

    call_path(main)


def test_failed_attempts_release_their_slots(call_path):
    """Guards against slot leaks when faults end attempts in different states."""

    async def main(path):
        server = await path.add_server()
        entry = await path.add_entry()
        for kind in ("truncated_answer", "close_before_run", "shed", "fail_fast"):
            await set_faults(server, {"kind": kind})
            for method in ("GET", "POST"):
                assert (await entry.send(method)).status >= 500
        assert entry.runtime.slots.n_in_flight == 0
        assert [b.candidate.n_in_flight for b in entry.runtime.backends.values()] == [0]

    call_path(main)


def test_connections_bound_the_requests_in_flight(call_path):
    """Guards against refusals of requests that could wait for a connection."""

    async def main(path):
        server = await path.add_server(service_ms=20)
        entry = await path.add_entry()
        tasks = [await curio.spawn(entry.send) for _ in range(6)]
        assert [(await task.join()).status for task in tasks] == [200] * 6
        assert server.counts.greatest_in_flight == 2

    call_path(main, connections_per_endpoint=2)


def test_expired_requests_do_not_turn_a_server_cold(call_path):
    """Guards against servers marked cold because of already expired requests."""

    async def main(path):
        server = await path.add_server()
        entry = await path.add_entry()
        for _ in range(10):
            reply = await entry.send("POST", pollenfold_timeout_ms=0)
            assert (reply.error, reply.run_state) == (
                "deadline_exceeded",
                "did_not_run",
            )
        assert entry.warm_changes == []
        assert server.counts.n_received == 0

    call_path(main)


def test_timeouts_below_the_service_time_do_not_turn_a_server_cold(call_path):
    """Guards against a server that is marked cold for all callers because one caller's
    timeouts are shorter than the service time."""

    async def main(path):
        await path.add_server(service_ms=80)
        entry = await path.add_entry()
        assert (await entry.send()).status == 200
        for _ in range(10):
            reply = await entry.send(pollenfold_timeout_ms=20)
            # Either the server or the entry detects the expired deadline first.
            assert reply.status == 504
        assert entry.warm_changes == []

    call_path(main)
