"""Ledger replicas and clients on loopback; replicas, disks and writes are lost."""

import os
import signal
import socket

import curio
import pytest

from pollenfold.core.claims import (
    Claimed,
    Completed,
    InDoubt,
    InProgress,
    Unavailable,
)
from pollenfold.core.errors import ErrorKind
from pollenfold.core.register import (
    BLANK_REGISTER,
    RETENTION_MS,
    Claim,
    Outcome,
    Register,
    State,
    Value,
    handle,
)
from pollenfold.ledger.client import MAX_BODY_BYTES, LedgerClient
from pollenfold.ledger.daemon import serve_ledger
from pollenfold.ledger.store import RegisterStore, StorageError
from pollenfold.observe.clock import system_clock
from pollenfold.settings import LedgerSettings
from pollenfold.testing.ledger import LocalLedger
from pollenfold.wire.ledger import (
    Fence,
    PageRequest,
    StatusRequest,
    decode_request,
    encode_request,
)

OUTCOME = Outcome(201, ((b"content-type", b"text/plain"),), b"booked")
TIMEOUT_MS = 5000.0


@pytest.fixture
def run_ledger(run, tmp_path):
    """Return a function that runs a coroutine function with a ledger of replicas."""

    def run_with_ledger(function, n_replicas=3):
        async def main():
            async with LocalLedger(tmp_path, n_replicas) as ledger:
                await function(ledger)

        run(main)

    return run_with_ledger


@pytest.mark.parametrize("n_replicas", [3, 5])
def test_one_of_two_clients_claims_a_key(run_ledger, n_replicas):
    """Guards against two entries that both dispatch the request of a key."""

    async def main(ledger):
        clients = [ledger.client("entry-1"), ledger.client("entry-2")]
        for n in range(20):
            async with curio.TaskGroup() as group:
                for client in clients:
                    claim_id = f"{n}-{id(client)}"
                    await group.spawn(client.claim, f"key-{n}", claim_id, TIMEOUT_MS)
            assert group.results.count(Claimed()) <= 1
            assert all(r in (Claimed(), InProgress()) for r in group.results)

    run_ledger(main, n_replicas)


@pytest.mark.parametrize("is_suspended", [True, False])
def test_one_unresponsive_replica_changes_no_result(run_ledger, is_suspended):
    """Guards against one suspended or isolated replica that blocks requests, or that
    permits a second execution when it returns with an old state."""

    async def main(ledger):
        first, second = ledger.client("entry-1"), ledger.client("entry-2")
        (ledger.suspend if is_suspended else ledger.isolate)("a")
        assert await first.claim("key", "c", TIMEOUT_MS) == Claimed()
        assert (await first.complete("key", "c", OUTCOME)).is_ok()
        await ledger.resume("a")
        ledger.reconnect("a")
        ledger.isolate("b")
        assert await second.claim("key", "d", TIMEOUT_MS) == Completed(OUTCOME)
        assert (await second.abandon("other", "d")).is_ok()
        assert await second.claim("other", "e", TIMEOUT_MS) == Claimed()

    run_ledger(main)


def test_two_disks_lost_in_succession_keep_the_claims(run_ledger):
    """Guards against a second execution for a key after the replicas that stored its
    claim have lost their disks one after the other."""

    async def main(ledger):
        ledger.isolate("c")
        client = ledger.client("entry-1")
        assert await client.claim("claimed", "c1", TIMEOUT_MS) == Claimed()
        assert await client.claim("completed", "c2", TIMEOUT_MS) == Claimed()
        assert (await client.complete("completed", "c2", OUTCOME)).is_ok()
        ledger.reconnect("c")
        for name in ("a", "b"):
            await ledger.lose_disk(name)
            assert await ledger.join(name)
        retrying_client = ledger.client("entry-2")
        result = await retrying_client.claim("claimed", "d1", TIMEOUT_MS)
        assert result == InProgress()
        result = await retrying_client.claim("completed", "d2", TIMEOUT_MS)
        assert result == Completed(OUTCOME)

    run_ledger(main)


def test_blank_replica_waits_for_enough_others(run_ledger):
    """Guards against a blank replica that votes before it copied n - majority + 1
    others: the only copy of a vote may be on a replica that it could not reach."""

    async def main(ledger):
        client = ledger.client("entry-1")
        await ledger.lose_disk("a")
        ledger.isolate("b")
        assert not await ledger.join("a")
        with pytest.raises(LookupError):
            await ledger.replicas["a"].handle_request(encode_request("key", Claim("c")))
        assert await client.claim("key", "c", TIMEOUT_MS) == Unavailable()
        ledger.reconnect("b")
        assert await ledger.join("a")
        assert (await client.abandon("key", "c")).is_ok()

    run_ledger(main)


def test_vote_from_before_a_lost_disk_is_not_counted(run_ledger):
    """Guards against a claim that counts a vote from before a disk was lost together
    with a vote granted after the replica rejoined without that vote."""

    async def main(ledger):
        ledger.suspend("b")
        ledger.isolate("c")
        slow = ledger.client("entry-1")
        n_received_before = dict(ledger.n_received)
        claim = await curio.spawn(slow.claim, "key", "c", TIMEOUT_MS)
        while not len(ledger.replicas["a"].store) or any(
            ledger.n_received[name] == n_received_before[name] for name in "bc"
        ):
            await curio.sleep(0.001)
        delayed_requests = await ledger.resume_for_new_requests("b")
        ledger.reconnect("c")
        await ledger.lose_disk("a")
        assert await ledger.join("a")
        await delayed_requests.set()
        assert await claim.join() == Unavailable()

    run_ledger(main)


def test_late_founder_waits_for_enough_others(run, tmp_path):
    """Guards against a cluster that never forms, and against a founder that votes
    without the epochs that were announced before it joined."""

    async def main():
        async with LocalLedger(tmp_path, 3, is_joined=False) as ledger:
            ledger.isolate("c")
            assert not await ledger.join("a")
            ledger.reconnect("c")
            assert await ledger.join("a")
            ledger.isolate("c")
            assert not await ledger.join("b")
            ledger.reconnect("c")
            assert await ledger.join("b")
            assert await ledger.join("c")

    run(main)


def test_copy_includes_an_epoch_announced_during_the_copy(run_ledger):
    """Guards against a replica that votes without the new epoch of a third one, which
    its peer accepted between the status request and the copy."""

    async def main(ledger):
        await ledger.lose_disk("a")
        original_handler = ledger.replicas["b"].handle_request
        fence = encode_request("", Fence("c", 2))

        async def announce_before_pages(payload):
            if isinstance(decode_request(payload)[1], PageRequest):
                ledger.replicas["b"].handle_request = original_handler
                await original_handler(fence)
            return await original_handler(payload)

        ledger.replicas["b"].handle_request = announce_before_pages
        assert await ledger.join("a")
        assert ledger.replicas["a"].store.epochs == (2, 1, 2)

    run_ledger(main)


def test_restart_with_a_torn_journal_entry(run_ledger):
    """Guards against the loss of an acknowledged claim by a crash during the next
    write, which leaves a partial journal entry."""

    async def main(ledger):
        client = ledger.client("entry-1")
        assert await client.claim("key", "c", TIMEOUT_MS) == Claimed()
        for name in ledger.names:
            await ledger.restart_with_torn_entry(name)
        assert await client.claim("key", "d", TIMEOUT_MS) == InProgress()

    run_ledger(main)


def test_replica_with_a_failed_disk_does_not_respond(run_ledger):
    """Guards against a response from a replica whose last write may be lost."""

    async def main(ledger):
        client = ledger.client("entry-1")
        ledger.fail_disk("a")
        for request in (Claim("c"), StatusRequest()):
            with pytest.raises(StorageError):
                await ledger.replicas["a"].handle_request(
                    encode_request("key", request)
                )
        assert await client.claim("key", "d", TIMEOUT_MS) == Claimed()
        ledger.isolate("b")
        assert await client.claim("key", "e", TIMEOUT_MS) == Unavailable()

    run_ledger(main)


def test_large_copy_is_split_into_frames(run_ledger):
    """Guards against a blank replica that can't rejoin because the registers of the
    others exceed the size of a frame."""

    async def main(ledger):
        client = ledger.client("entry-1")
        outcome = Outcome(200, body=b"x" * MAX_BODY_BYTES)
        for n in range(20):
            assert await client.claim(f"{n}", f"c{n}", TIMEOUT_MS) == Claimed()
            assert (await client.complete(f"{n}", f"c{n}", outcome)).is_ok()
        too_large = Outcome(200, body=b"x" * (MAX_BODY_BYTES + 1))
        result = await client.complete("0", "c0", too_large)
        assert result.error is ErrorKind.BODY_TOO_LARGE
        await ledger.lose_disk("a")
        assert await ledger.join("a")
        assert len(ledger.replicas["a"].store) == 20

    run_ledger(main)


def test_retention_and_unresolved_claims(run_ledger):
    """Guards against outcomes that never expire, and against claims without an
    outcome that are dropped, executed again or hidden from operators."""

    async def main(ledger):
        client = ledger.client("entry-1")
        for key in ("held", "done"):
            assert await client.claim(key, "c", TIMEOUT_MS) == Claimed()
        assert (await client.complete("done", "c", OUTCOME)).is_ok()
        ledger.wall_clock.advance(RETENTION_MS)
        assert await client.claim("held", "d", TIMEOUT_MS) == InDoubt()
        (unresolved,) = await client.unresolved_claims(10)
        assert (unresolved.key, unresolved.claim_ids) == ("held", ("c",))
        assert unresolved.age_ms == RETENTION_MS
        assert await client.claim("done", "d", TIMEOUT_MS) == Claimed()
        assert len(await client.unresolved_claims(1)) == 1

    run_ledger(main)


def test_operation_ends_after_a_suspension(run_ledger):
    """Guards against a client that relies on promises that the replicas dropped because
    of their age while its process was suspended."""

    async def main(ledger):
        instants = iter([0.0, 0.0, 40_000.0])
        client = ledger.client("entry-1", clock=lambda: next(instants))
        result = await client.abandon("key", "c")
        assert result.error is ErrorKind.LEDGER_UNAVAILABLE

    run_ledger(main)


def test_daemon_serves_until_sigterm(run, tmp_path):
    """Guards against a daemon that does not start, or does not stop on SIGTERM."""

    async def main():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        settings = LedgerSettings(
            replica_id="a",
            host="127.0.0.1",
            peers={"a": ("127.0.0.1", port)},
            data_folder=tmp_path,
        )
        task = await curio.spawn(serve_ledger, settings)
        client = LedgerClient({"a": ("127.0.0.1", port)}, "entry-1", system_clock)
        while await client.claim("key", f"{system_clock()}", 0) != Claimed():
            await curio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        await task.join()
        await client.close()

    run(main)


def test_group_sync(run, tmp_path):
    """Guards against one sync for each request, and a response before the sync."""

    async def main():
        store = RegisterStore(tmp_path, 3, lambda: 0.0)

        async def change(key):
            store.put(key, handle(BLANK_REGISTER, Claim("c"), 0.0)[0])
            await store.wait_until_synced()
            assert len(RegisterStore(tmp_path, 3, lambda: 0.0)) == 50

        async with curio.TaskGroup() as group:
            for n in range(50):
                await group.spawn(change, f"{n}")
        assert store.n_syncs == 1

    run(main)


def test_compaction_keeps_the_newest_registers(run, tmp_path):
    """Guards against a compaction that loses or reverts a change, and against a
    journal that grows without bound."""

    async def main():
        def claimed_register(claim_id):
            return Register(value=Value(State.CLAIMED, (claim_id,)))

        store = RegisterStore(tmp_path, 3, lambda: 0.0)
        store.put_epochs((1, 2, 1))
        for n in range(16_000):
            store.put(f"{n % 1000}", claimed_register(f"{n}"))
            if n % 1000 == 999:
                await store.wait_until_synced()
        size_bytes = (tmp_path / "registers").stat().st_size
        store.put("0", claimed_register("unsynced"))
        store.compact_if_needed()
        assert (tmp_path / "registers").stat().st_size < size_bytes / 8
        store.put("new", claimed_register("later"))
        await store.wait_until_synced()
        reopened_store = RegisterStore(tmp_path, 3, lambda: 0.0)
        assert (len(reopened_store), reopened_store.epochs) == (1001, (1, 2, 1))
        expected = {"0": "unsynced", "1": "15001", "new": "later"}
        for key, claim_id in expected.items():
            assert reopened_store.get(key) == claimed_register(claim_id)

    run(main)
