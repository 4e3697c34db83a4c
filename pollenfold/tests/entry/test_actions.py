"""Non-idempotent requests are executed at most once, with a correct run state."""

import curio
import pytest

from pollenfold.core.outcomes import REFUSAL_STATUSES
from pollenfold.http.messages import Response
from pollenfold.testing.response_bodies import check_response_body
from pollenfold.tests.entry.conftest import set_faults, wait_until


async def add_entries(path, n_entries):
    return [await path.add_entry(f"entry-{n}") for n in range(n_entries)]


@pytest.mark.parametrize("service_ms", [40, 400])
@pytest.mark.parametrize("n_entries", [1, 2])
def test_key_sent_twice_concurrently_is_executed_once(call_path, n_entries, service_ms):
    """Guards against two executions when a caller resends before the first response,
    through the same entry or another one. The longer service time exceeds the wait
    for the outcome."""

    async def main(path):
        await path.add_server(service_ms=service_ms)
        entries = await add_entries(path, n_entries)
        for n in range(400 // service_ms):
            tasks = [
                await curio.spawn(lambda e=entry: e.send("POST", key=f"k{n}"))
                for entry in (entries[0], entries[-1])
            ]
            replies = [await task.join() for task in tasks]
            assert path.servers[0].counts.runs[f"k{n}"] <= 1
            for reply in replies:
                if reply.status == 200:
                    assert check_response_body(reply.body, key=f"k{n}") is None
                else:
                    assert reply.run_state == "outcome_unknown"
            assert replies[0].status == 200 or replies[1].status == 200

    call_path(main)


def test_resend_through_another_entry_gets_the_first_response(call_path):
    """Guards against a second execution when a caller reconnects to another entry."""

    async def main(path):
        await path.add_server()
        first, second = await add_entries(path, 2)
        reply = await first.send("POST")
        key = reply.headers["idempotency-key"]
        assert reply.status == 200 and reply.run_state == "ran"
        await wait_until(lambda: not first.actions.n_storing)
        again = await second.send("POST", key=key)
        assert again.headers["pollenfold-replayed"] == "true"
        assert (again.status, again.body) == (200, reply.body)
        assert again.headers["idempotency-key"] == key
        assert path.n_runs == 1

    call_path(main)


def test_key_may_be_sent_again_after_did_not_run(call_path):
    """Guards against a key that stays claimed although its request did not run."""

    async def main(path):
        server = await path.add_server({"kind": "shed"})
        first, second = await add_entries(path, 2)
        for _ in range(2):
            reply = await first.send("POST", key="k1")
            assert (reply.error, reply.run_state) == ("backend_refused", "did_not_run")
            assert reply.retry_after == "1"
        assert path.n_runs == 0
        await set_faults(server)
        reply = await second.send("POST", key="k1")
        assert reply.status == 200 and "pollenfold-replayed" not in reply.headers
        assert path.n_runs == 1

    call_path(main)


@pytest.mark.parametrize(
    "key, run_state", [("k1", "outcome_unknown"), (None, "did_not_run")]
)
def test_claim_that_is_not_abandoned_leaves_the_outcome_unknown(
    call_path, key, run_state
):
    """Guards against ``did_not_run`` while another entry may hold a caller's key."""

    async def main(path):
        async def serve(client, address):
            await client.recv(10_000)
            path.ledger.isolate("a")
            path.ledger.isolate("b")
            await client.sendall(
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                b"Pollenfold-Not-Started: true\r\n\r\n"
            )

        await path.add_scripted(serve)
        entry = await path.add_entry()
        reply = await entry.send("POST", key=key)
        assert (reply.error, reply.run_state) == ("backend_refused", run_state)

    call_path(main)


def test_key_resent_after_ledger_loss_is_executed_at_most_once(call_path):
    """Guards against a second execution when the ledger regains a lost majority."""

    async def main(path):
        await path.add_server()
        entry = await path.add_entry()
        path.ledger.isolate("a")
        path.ledger.isolate("b")
        reply = await entry.send("POST", key="k1")
        assert reply.run_state == "outcome_unknown" and path.n_runs == 0
        path.ledger.reconnect("a")
        path.ledger.reconnect("b")
        replies = [await entry.send("POST", key="k1") for _ in range(3)]
        assert path.n_runs <= 1
        assert (path.n_runs == 1) == any(reply.status == 200 for reply in replies)

    call_path(main)


def test_ledger_loss_does_not_affect_idempotent_requests(call_path):
    """Guards against failed idempotent requests when only the ledger is unavailable."""

    async def main(path):
        await path.add_server()
        entry = await path.add_entry()
        for name in "abc":
            path.ledger.isolate(name)
        assert (await entry.send("GET")).status == 200

    call_path(main)


def test_request_with_an_unstorable_response_is_not_executed_again(call_path):
    """Guards against a second execution if the outcome is too long for the ledger."""

    async def main(path):
        await path.add_server(answer_bytes=100_000)
        entry = await path.add_entry()
        reply = await entry.send("POST", key="k1")
        assert reply.status == 200 and len(reply.body) >= 100_000
        await wait_until(lambda: not entry.actions.n_storing)
        again = await entry.send("POST", key="k1")
        assert (again.error, again.run_state) == ("outcome_unknown", "ran")
        assert path.n_runs == 1

    call_path(main)


def test_request_without_a_stored_outcome_is_never_executed_again(call_path):
    """Guards against a second execution after the server closed the connection."""

    async def main(path):
        server = await path.add_server({"kind": "close_after_run"})
        entry = await path.add_entry()
        reply = await entry.send("POST", key="k1")
        assert (reply.error, reply.run_state) == ("outcome_unknown",) * 2
        await set_faults(server)
        states = set()
        for _ in range(4):
            again = await entry.send("POST", key="k1")
            assert again.run_state == "outcome_unknown"
            states.add(again.error)
            path.ledger.wall_clock.advance(200)
        # Reported as in progress while the claim is younger than the service timeout.
        assert states == {"in_progress", "outcome_unknown"}
        assert path.n_runs == 1

    call_path(main, timeout_ms=500.0)


def test_run_state_headers_of_a_backend_server_are_not_relayed(call_path):
    """Guards against ``did_not_run`` for a request that ran: the backend server may
    relay the run state of a request that it made itself."""

    async def main(path):
        async def serve(client, address):
            await client.recv(10_000)
            await client.sendall(
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                b"Pollenfold-Run-State: did_not_run\r\n\r\n"
            )

        await path.add_scripted(serve)
        entry = await path.add_entry()
        for key in ("k1", "k1"):
            assert (await entry.send("POST", key=key)).run_state == "ran"
        assert (await entry.send("GET")).run_state is None

    call_path(main)


def scripted_status(status, extra=b""):
    """Return a server that runs each request and responds with this status."""

    async def serve(client, address):
        await client.recv(10_000)
        await client.sendall(
            b"HTTP/1.1 %d Busy\r\nContent-Length: 4\r\n%s\r\nbusy" % (status, extra)
        )

    return serve


@pytest.mark.parametrize("status", sorted(REFUSAL_STATUSES))
def test_request_that_ran_is_not_answered_with_the_status_of_a_refusal(
    call_path, status
):
    """Guards against a caller without a key that sends an order again because it got
    the 503 of a server that ran it, and against a stored 503 for a resend."""

    async def main(path):
        await path.add_scripted(scripted_status(status, b"Retry-After: 1\r\n"))
        entry = await path.add_entry()
        first = await entry.send("POST")
        key = first.headers["idempotency-key"]
        await wait_until(lambda: not entry.actions.n_storing)
        again = await entry.send("POST", key=key)
        for reply in (first, again):
            assert (reply.status, reply.error) == (502, "outcome_unknown")
            assert reply.run_state == "ran" and reply.retry_after is None
            assert f"status {status}".encode() in reply.body
            assert reply.headers["idempotency-key"] == key
        assert again.headers["pollenfold-replayed"] == "true"
        assert (await entry.send("GET")).status == status

    call_path(main)


def test_refusal_status_that_another_entry_passes_on_is_replaced(call_path):
    """Guards against the same through an entry of an earlier version, which owns the
    warm-up of every server and passes the status on."""

    async def main(path):
        await path.add_server(is_warm=False)
        entries = [await path.add_entry(f"entry-{n}") for n in range(2)]
        path.share_directory()
        for entry in entries:
            await entry.sync()
        other, owner = sorted(entries, key=lambda e: len(e.runtime.slots.candidates))

        async def handle_as_earlier(request):
            state = (b"pollenfold-run-state", b"ran")
            return Response(503, [state, (b"idempotency-key", b"k1")], b"busy")

        owner.callers._shared.handler = handle_as_earlier
        reply = await other.send("POST", key="k1")
        assert (reply.status, reply.run_state) == (502, "ran")
        assert reply.headers["idempotency-key"] == "k1"

    call_path(main)
