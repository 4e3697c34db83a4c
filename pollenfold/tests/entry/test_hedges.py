"""Hedges and retries stay within budget and never duplicate actions."""

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.observe.clock import system_clock
from pollenfold.testing.response_bodies import check_response_body
from pollenfold.tests.entry.conftest import wait_until


def test_response_of_a_losing_attempt_is_discarded(call_path):
    """Guards against a reused connection that delivers the late response of a
    cancelled attempt."""

    async def main(path):
        slow = {"kind": "late_answer", "delay_ms": 400, "n_requests": 1}
        first = await path.add_server(slow)
        await path.add_server(zone="b")
        entry = await path.add_entry()
        reply = await entry.send(x_request_id="r1")
        assert check_response_body(reply.body, "r1") is None
        assert reply.elapsed_ms < 400
        backends = entry.runtime.backends.values()
        assert [b.pool.n_open for b in backends] == [0, 1]
        assert [b.candidate.n_in_flight for b in backends] == [0, 0]
        deadline = add_ms(system_clock(), 500)
        while system_clock() < deadline:
            reply = await entry.send(x_request_id="r2")
            assert check_response_body(reply.body, "r2") is None
        assert first.counts.n_received > 1

    call_path(main, timeout_ms=400.0 * 2)


@pytest.mark.parametrize("fault", ["close_after_run", "truncated_answer", "fail_fast"])
def test_unstarted_attempt_does_not_override_an_earlier_one(call_path, fault):
    """Guards against ``did_not_run`` for a request that may have run at the first
    server and was refused by the second."""

    async def main(path):
        await path.add_server({"kind": fault})
        path.add_refusing(zone="b")
        entry = await path.add_entry()
        reply = await entry.send("GET")
        assert reply.status in (500, 502)
        assert reply.run_state in (None, "outcome_unknown")

    call_path(main)


def test_hedges_stay_within_their_budget(call_path):
    """Guards against hedges that multiply the load of a slow service."""

    async def main(path):
        first = await path.add_server(service_ms=240)
        second = await path.add_server(zone="b")
        entry = await path.add_entry()

        async def call():
            for _ in range(10):
                assert (await entry.send("GET")).status == 200

        async with curio.TaskGroup() as group:
            for _ in range(4):
                await group.spawn(call)
        # Two initial permits and a twentieth of a permit for each of the 40 calls.
        assert 1 <= second.counts.n_received <= 2 + 0.05 * 40
        assert first.counts.n_received == 40

    call_path(main, timeout_ms=400.0, hedge_ratio=0.05)


def test_only_idempotent_requests_are_hedged(call_path):
    """Guards against a hedge that executes a non-idempotent request twice."""

    async def main(path):
        await path.add_server(service_ms=200)
        second = await path.add_server(zone="b")
        entry = await path.add_entry()
        assert (await entry.send("POST")).status == 200
        assert second.counts.n_received == 0
        assert (await entry.send("GET")).status == 200
        assert second.counts.n_received == 1

    call_path(main, timeout_ms=400.0)


def test_no_hedge_without_a_lease(call_path):
    """Guards against new work in a zone that was removed after the lease expired."""

    async def main(path):
        first = await path.add_server(service_ms=200)
        second = await path.add_server(zone="b")
        entry = await path.add_entry()
        task = await curio.spawn(entry.send)
        await wait_until(lambda: first.n_in_flight)
        entry.has_lease = False
        assert (await task.join()).status == 200
        assert second.counts.n_received == 0

    call_path(main, timeout_ms=400.0)


@pytest.mark.parametrize("n_failing", [1, 2])
def test_retries_stay_within_their_budget(call_path, n_failing):
    """Guards against retries that double the load while servers are down."""

    async def main(path):
        for index, zone in enumerate("ab"):
            rows = [{"kind": "fail_fast"}] if index < n_failing else []
            await path.add_server(*rows, zone=zone)
        entry = await path.add_entry()
        replies = [await entry.send("GET") for _ in range(100)]
        n_received = sum(server.counts.n_received for server in path.servers)
        # Ten initial permits and a tenth of a permit for each of the 100 calls.
        assert n_received <= 100 + 10 + 0.1 * 100
        n_succeeded = sum(reply.status == 200 for reply in replies)
        assert n_succeeded == (n_received - 100 if n_failing == 1 else 0)
        if n_failing == 2:
            assert path.n_runs == 0

    call_path(main)


@pytest.mark.parametrize("key", [None, "k1"])
def test_each_refusing_server_is_tried_once(call_path, key):
    """Guards against a wrong run state, and repeated attempts at servers that shed."""

    async def main(path):
        for zone in "ab":
            await path.add_server({"kind": "shed"}, zone=zone)
        path.add_refusing("a")
        entry = await path.add_entry()
        reply = await entry.send("POST", key=key)
        assert (reply.error, reply.run_state) == ("backend_refused", "did_not_run")
        assert path.n_runs == 0
        assert [server.counts.n_received for server in path.servers] == [1, 1]

    call_path(main)
