"""Tests of the fake backend server: capacity, cold start, drain, reports and counts."""

import json

import curio
import pytest

from pollenfold.http.messages import Response, find_header
from pollenfold.http.server import HttpServer
from pollenfold.testing.backend_server import NOT_STARTED, BackendServer, main
from pollenfold.testing.backend_settings import BackendSettings
from pollenfold.testing.faults import FaultKind, FaultRule, FaultTable, FaultUpdate
from pollenfold.testing.response_bodies import check_response_body, encode_response_body


def test_work_beyond_slots_and_queue_is_shed_as_not_started(with_server):
    """Guards against a fake server that accepts more work than it announces."""

    async def body(server, caller):
        statuses = await caller.send_many(8, key="k")
        assert sorted(statuses) == [200] * 5 + [503] * 3
        assert server.counts.greatest_working == 2
        assert server.counts.greatest_in_flight == 5
        assert server.counts.runs["k"] == 5

    with_server(body, slots=2, queue_limit=3, service_ms=50, jitter_sigma=0)


@pytest.mark.parametrize("overload, statuses", [("slow", [200] * 3), ("fail", None)])
def test_cold_server_counts_work_beyond_its_cold_slots(with_server, overload, statuses):
    """Guards against an overloaded cold server that doesn't count the violation."""

    async def body(server, caller):
        received = await caller.send_many(3)
        assert sorted(received) == (statuses or [200, 500, 500])
        assert server.counts.n_overload_violations == 2
        # Requests that the mode "fail" rejects immediately are never in flight.
        assert server.counts.greatest_in_flight_cold == (3 if statuses else 1)

    with_server(body, starts_cold=True, cold_overload=overload, service_ms=20)


def test_server_warms_with_served_requests_and_turns_cold_again(with_server):
    """Guards against a server that warms up with time, or can't turn cold again.

    Also guards against a load report in the response to a request that didn't ask for
    it, and against a wrong count of the bytes of the load-report headers.
    """

    async def body(server, caller):
        for _ in range(4):
            assert server.cold
            await caller.send()
        assert not server.cold
        await caller.update_faults(actions=["turn_cold"])
        assert server.cold
        assert server.counts.greatest_in_flight_cold == 0
        result, _ = await caller.send()
        load = find_header(result.ok.headers, b"pollenfold-load")
        assert load == b"in_flight=0;slots=6;cold=1"
        n_report_bytes = server.counts.n_report_bytes
        await caller.send()
        n_header_bytes = len(b"pollenfold-load") + len(load) + 4
        n_header_bytes += len(b"pollenfold-load-wanted: 1\r\n")
        assert server.counts.n_report_bytes - n_report_bytes == n_header_bytes
        caller.requests_load = False
        result, _ = await caller.send()
        assert find_header(result.ok.headers, b"pollenfold-load") is None
        assert server.counts.n_report_bytes - n_report_bytes == n_header_bytes

    with_server(body, starts_cold=True, warm_after=4)


def test_drain_finishes_work_in_flight_and_refuses_new_work(with_server):
    """Guards against a drain that aborts requests in flight or accepts new ones."""

    async def body(server, caller):
        task = await curio.spawn(caller.send)
        await curio.sleep(0.02)
        await caller.update_faults(actions=["drain"])
        result, _ = await caller.send()
        assert result.ok.status == 503 and NOT_STARTED in result.ok.headers
        assert (await task.join())[0].ok.status == 200
        assert server.counts.last_received_after_leaving_ms > 0

    with_server(body, service_ms=100, jitter_sigma=0)


def test_work_stops_when_the_caller_closes(with_server):
    """Guards against a cancelled request that keeps its slot."""

    async def body(server, caller):
        async with curio.ignore_after(0.05):
            await caller.send()
        async with curio.timeout_after(1):
            while server.n_in_flight:
                await curio.sleep(0.01)
        assert server.counts.n_stopped_by_caller == 1
        assert server.counts.n_completed == 0

    with_server(body, service_ms=5000)


def test_work_stops_at_the_deadline_of_the_caller(with_server):
    """Guards against an execution that continues after the caller stopped waiting."""

    async def body(server, caller):
        result, _ = await caller.send(headers=[(b"pollenfold-timeout-ms", b"50")])
        assert result.ok.status == 504
        assert server.counts.n_stopped_by_deadline == 1
        assert server.n_in_flight == 0

    with_server(body, service_ms=5000)


def test_queued_request_past_its_deadline_never_runs(with_server):
    """Guards against a not-started refusal of a request that was executed."""

    async def body(server, caller):
        first = await curio.spawn(caller.send)
        await curio.sleep(0.02)
        result, _ = await caller.send(
            key="late", headers=[(b"pollenfold-timeout-ms", b"30")]
        )
        assert result.ok.status == 504 and NOT_STARTED in result.ok.headers
        await first.join()
        assert server.counts.runs["late"] == 0

    with_server(body, slots=1, service_ms=200, jitter_sigma=0)


def test_load_reports_mislead_and_lag_as_configured(with_server):
    """Guards against routing tests that get true reports in spite of the fault."""

    async def body(server, caller):
        await caller.update_faults(faults=[{"kind": "misleading_load", "value": 9}])
        task = await curio.spawn(caller.send)
        await curio.sleep(0.02)
        load = {"in_flight": 9, "slots": 6, "cold": False}
        assert await caller.get_json("/load") == load
        await task.join()
        await caller.update_faults(faults=[{"kind": "stale_load", "delay_ms": 200}])
        task = await curio.spawn(caller.send)
        await curio.sleep(0.05)
        assert (await caller.get_json("/load"))["in_flight"] == 0
        await task.join()
        await curio.sleep(0.15)
        assert (await caller.get_json("/load"))["in_flight"] == 1
        assert server.counts.n_probes == 3
        await caller.update_faults(faults=[{"kind": "unhealthy"}])
        assert (await caller.send("GET", "/healthz"))[0].ok.status == 503

    with_server(body, service_ms=150, jitter_sigma=0)


def test_fault_table_repeats_with_its_seed():
    """Guards against fault injection that isn't reproducible from its seed."""
    rules = [FaultRule(kind=FaultKind.SHED, share=0.5, n_requests=20)]

    def draw(seed):
        table = FaultTable(rules, seed)
        return [FaultKind.SHED in table.faults_of_next_request("/") for _ in range(100)]

    assert draw(1) == draw(1) != draw(2)
    assert sum(draw(1)) == 20


def test_announcements_alternate_and_end_with_leaving(run):
    """Guards against announcements to one entry only, or a drain without one."""
    received = {0: [], 1: []}

    async def start_entry(index):
        async def accept(request):
            received[index].append(json.loads(request.body))
            return Response(200, [])

        return f"127.0.0.1:{await HttpServer(accept).start('127.0.0.1', 0)}"

    async def main():
        # The announcer skips the address without a listener.
        entries = ["127.0.0.1:1", await start_entry(0), await start_entry(1)]
        server = BackendServer(
            BackendSettings(entries=entries, announce_every_ms=20, incarnation=7)
        )
        port = await server.start()
        while not all(received.values()):
            await curio.sleep(0.01)
        await server.update_faults(FaultUpdate(actions=["drain"]))
        last = max(received[0] + received[1], key=lambda body: body["heartbeat"])
        assert last["state"] == "leaving"
        assert last["port"] == port
        assert last["ttl_ms"] == 5000
        await server.update_faults(FaultUpdate(actions=["serve"]))
        assert server.incarnation == 8 and not server.leaving
        await server.stop()

    run(main)


def test_check_finds_foreign_and_damaged_responses():
    """Guards against a check that accepts any response."""
    complete = encode_response_body({"request_id": "r1", "key": "k1"}, 500)
    assert check_response_body(complete, "r1") is None
    assert check_response_body(complete, "other", "k1") is None
    assert check_response_body(complete, "r2") is not None
    assert check_response_body(complete, "r1", "k2") is not None
    assert check_response_body(complete[:-9], "r1") == "not whole"
    assert check_response_body(complete.replace(b"xxx", b"xyx", 1), "r1") == "not whole"
    assert check_response_body(b"[]", "r1") == "not whole"


def test_run_log_outlives_its_process(with_server, tmp_path):
    """Guards against executions that are lost from the log if the server is killed."""

    async def body(server, caller):
        await caller.send(key="a")
        await caller.send(key="a")
        assert (tmp_path / "runs").read_text() == "r1\ta\nr1\ta\n"

    with_server(body, run_log=tmp_path / "runs")


def test_invalid_flag_gives_one_line_and_status_2(monkeypatch, capsys):
    """Guards against a traceback for an invalid flag value."""
    monkeypatch.setattr("sys.argv", ["backend_server", "--slots", "none"])
    assert main() == 2
    assert capsys.readouterr().err.count("\n") == 1
