"""Non-idempotent requests are executed at most once while entries and replicas fail."""

import curio

from benchmarks.cluster import Topology
from benchmarks.processes import wait_healthy, wait_until
from pollenfold.testing.partitions import INBOUND

from .system import SERVICE, max_executions, use_single_zone

TOPOLOGY = Topology(
    n_control=1, n_entries=2, services=(SERVICE,), n_backends_per_service=2
)

arrange = use_single_zone

UNRESOLVED_ERRORS = {"outcome_unknown", "in_progress"}


async def send_through_both(system, key):
    """Send one key through both entries concurrently."""
    async with curio.TaskGroup() as group:
        for entry in system.cluster.entries:
            await group.spawn(system.send, entry, "POST", "orders", key)
    return group.results


def test_same_key_through_two_entries_at_once(system, run):
    """Guards against two executions if a caller's resend overtakes its first send."""
    keys = [f"both-{n}" for n in range(40)]

    async def main():
        await system.warm_up()
        return [await send_through_both(system, key) for key in keys]

    for replies in run(main):
        assert any(reply.status == 200 for reply in replies), replies
    assert max_executions(system.executions().by_key, keys) == 1


def test_entry_killed_between_dispatch_and_response(system, run):
    """Guards against a second execution of a key whose entry was killed.

    The entry is killed after it dispatched the request and before the response.
    """
    first, second = system.cluster.entries
    keys = [f"killed-{n}" for n in range(3)]

    async def main():
        await system.warm_up()
        for backend in system.cluster.backends:
            rule = {"kind": "slow", "path_prefix": f"/{SERVICE}/slow", "delay_ms": 700}
            await system.update_faults(backend, faults=[rule])
        async with curio.TaskGroup() as group:
            for key in keys:
                await group.spawn(system.send, first, "POST", "slow", key)

            async def are_executed():
                return all(system.executions().by_key[key] for key in keys)

            await wait_until(are_executed, 10, "an execution of each key")
            system.process(first).kill()
        aborted = group.results
        early = [await system.send(second, "POST", "slow", key) for key in keys]
        await curio.sleep(1.5)
        later = [await system.send(second, "POST", "slow", key) for key in keys]
        for backend in system.cluster.backends:
            await system.update_faults(backend, faults=[])
        system.group.restart(first.entry_id)
        await wait_healthy(first.host, first.platform_port)
        return aborted, early, later

    aborted, early, later = run(main)
    assert [reply.status for reply in aborted] == [0, 0, 0]
    # A stored response is correct too: the killed entry may have forwarded the
    # request to the other one.
    for reply in early + later:
        assert reply.state == "outcome_unknown" or reply.is_replayed, reply
    assert "in_progress" not in {reply.error for reply in later}, later
    assert max_executions(system.executions().by_key, keys) == 1


def test_suspended_ledger_replica(system, run):
    """Guards against lost or repeated executions while a ledger replica is suspended.

    Two concurrent claims may split the votes of the other two replicas. Then neither
    request is executed, but a later resend is.
    """
    keys = [f"suspended-{n}" for n in range(20)]
    raced = [f"raced-{n}" for n in range(20)]
    entries = system.cluster.entries
    replica = system.process(system.cluster.ledger[0])

    async def main():
        await system.warm_up()
        replica.suspend()
        try:
            first = [
                await system.send(entries[n % 2], "POST", "orders", key)
                for n, key in enumerate(keys)
            ]
            for key in raced:
                await send_through_both(system, key)
        finally:
            replica.resume()
        for key in raced:
            await send_through_both(system, key)
        return first, [await send_through_both(system, key) for key in keys]

    first, again = run(main)
    assert [reply.status for reply in first] == [200] * len(keys), first
    for replies in again:
        assert [reply.is_replayed for reply in replies] == [True, True], replies
    assert max_executions(system.executions().by_key, keys) == 1
    assert max_executions(system.executions().by_key, raced) == 1


def test_second_ledger_replica_lost_right_after_a_repair(system, run):
    """Guards against lost claims: the repaired replica must hold all of them.

    The third replica is partitioned while the keys are stored, so that only the
    repaired replica and the one that is killed have them after the repair. It isn't
    suspended, as it would read the messages from its socket when it is resumed.
    """
    first, second = system.cluster.entries
    wiped, killed, partitioned = system.cluster.ledger
    completed = [f"completed-{n}" for n in range(10)]
    claimed = [f"claimed-{n}" for n in range(3)]

    async def main():
        await system.warm_up()
        for backend in system.cluster.backends:
            path = f"/{SERVICE}/lost"
            rule = {"kind": "close_after_run", "path_prefix": path}
            await system.update_faults(backend, faults=[rule])
        system.group.partition(partitioned.replica_id, INBOUND)
        done = [await system.send(first, "POST", "orders", key) for key in completed]
        lost = [await system.send(first, "POST", "lost", key) for key in claimed]
        # Longer than it takes to store an outcome while one replica is unresponsive.
        await curio.sleep(1)
        system.kill_and_wipe(wiped)
        system.group.partition(partitioned.replica_id)
        await system.rejoin(wiped)
        system.process(killed).kill()
        for backend in system.cluster.backends:
            await system.update_faults(backend, faults=[])
        replayed = [
            await system.send(second, "POST", "orders", key) for key in completed
        ]
        unknown = [await system.send(second, "POST", "lost", key) for key in claimed]
        system.group.restart(killed.replica_id)
        return done, lost, replayed, unknown

    done, lost, replayed, unknown = run(main)
    assert [reply.status for reply in done] == [200] * len(completed), done
    assert {reply.error for reply in lost} == {"outcome_unknown"}, lost
    assert {reply.is_replayed for reply in replayed} == {True}, replayed
    assert {reply.error for reply in unknown} <= UNRESOLVED_ERRORS, unknown
    executions = system.executions().by_key
    assert max_executions(executions, completed + claimed) == 1
