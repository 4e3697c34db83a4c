"""Non-idempotent requests run at most once while entries and replicas fail."""

import curio

from benchmarks.cluster import Topology
from benchmarks.processes import wait_healthy, wait_until
from pollenfold.testing.cuts import INBOUND

from .system import SERVICE, greatest_runs, in_one_zone

TOPOLOGY = Topology(
    n_control=1, n_entries=2, services=(SERVICE,), n_backends_per_service=2
)

arrange = in_one_zone

UNRESOLVED = {"outcome_unknown", "in_progress"}


async def send_both(system, key):
    """Send one key through both entries at the same moment."""
    async with curio.TaskGroup() as group:
        for entry in system.cluster.entries:
            await group.spawn(system.send, entry, "POST", "orders", key)
    return group.results


def test_same_key_through_two_entries_at_once(system, run):
    """Guards against two runs when a caller's resend overtakes its first send."""
    keys = [f"both-{n}" for n in range(40)]

    async def main():
        await system.warm_up()
        return [await send_both(system, key) for key in keys]

    for replies in run(main):
        assert any(reply.status == 200 for reply in replies), replies
    assert greatest_runs(system.runs().by_key, keys) == 1


def test_entry_killed_between_dispatch_and_response(system, run):
    """Guards against a second run of a key whose entry died with the response."""
    first, second = system.cluster.entries
    keys = [f"killed-{n}" for n in range(3)]

    async def main():
        await system.warm_up()
        for backend in system.cluster.backends:
            rule = {"kind": "slow", "path_prefix": f"/{SERVICE}/slow", "delay_ms": 700}
            await system.order(backend, faults=[rule])
        async with curio.TaskGroup() as group:
            for key in keys:
                await group.spawn(system.send, first, "POST", "slow", key)

            async def has_run():
                return all(system.runs().by_key[key] for key in keys)

            await wait_until(has_run, 10, "a run of each key")
            system.process(first).kill()
        cut_off = group.results
        at_once = [await system.send(second, "POST", "slow", key) for key in keys]
        await curio.sleep(1.5)
        later = [await system.send(second, "POST", "slow", key) for key in keys]
        for backend in system.cluster.backends:
            await system.order(backend, faults=[])
        system.group.restart(first.entry_id)
        await wait_healthy(first.host, first.platform_port)
        return cut_off, at_once, later

    cut_off, at_once, later = run(main)
    assert [reply.status for reply in cut_off] == [0, 0, 0]
    # The stored response is right as well: the killed entry may have forwarded the
    # request to the other one.
    for reply in at_once + later:
        assert reply.state == "outcome_unknown" or reply.is_replayed, reply
    assert "in_progress" not in {reply.error for reply in later}, later
    assert greatest_runs(system.runs().by_key, keys) == 1


def test_suspended_ledger_replica(system, run):
    """Guards against lost or repeated work while one ledger replica is silent.

    Two claims at once may split the votes of the other two replicas; then neither
    of the two runs, and a later resend does.
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
                await send_both(system, key)
        finally:
            replica.resume()
        for key in raced:
            await send_both(system, key)
        return first, [await send_both(system, key) for key in keys]

    first, again = run(main)
    assert [reply.status for reply in first] == [200] * len(keys), first
    for replies in again:
        assert [reply.is_replayed for reply in replies] == [True, True], replies
    assert greatest_runs(system.runs().by_key, keys) == 1
    assert greatest_runs(system.runs().by_key, raced) == 1


def test_second_ledger_replica_lost_right_after_a_repair(system, run):
    """Guards against forgotten claims: the repaired replica must hold them all.

    The third replica is cut off while the keys are stored, so that after the repair
    only the replica that is killed and the repaired one know them. A suspended one
    would find the messages in its socket when it is resumed.
    """
    first, second = system.cluster.entries
    wiped, killed, late = system.cluster.ledger
    completed = [f"completed-{n}" for n in range(10)]
    claimed = [f"claimed-{n}" for n in range(3)]

    async def main():
        await system.warm_up()
        for backend in system.cluster.backends:
            path = f"/{SERVICE}/lost"
            rule = {"kind": "close_after_run", "path_prefix": path}
            await system.order(backend, faults=[rule])
        system.group.cut(late.replica_id, INBOUND)
        done = [await system.send(first, "POST", "orders", key) for key in completed]
        lost = [await system.send(first, "POST", "lost", key) for key in claimed]
        # Longer than an outcome takes to be stored beside a silent replica.
        await curio.sleep(1)
        system.wipe(wiped)
        system.group.cut(late.replica_id)
        await system.rejoin(wiped)
        system.process(killed).kill()
        for backend in system.cluster.backends:
            await system.order(backend, faults=[])
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
    assert {reply.error for reply in unknown} <= UNRESOLVED, unknown
    runs = system.runs().by_key
    assert greatest_runs(runs, completed + claimed) == 1
