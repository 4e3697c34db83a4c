"""Which commands are acknowledged while the group has fewer voters than intended."""

import shutil

import curio
import pytest

from pollenfold.core.agreement.acknowledgement import LEARNER_WAIT_MS
from pollenfold.core.agreement.members import encode_members
from pollenfold.observe.clock import system_clock
from pollenfold.tests.control.test_cluster import Cluster, follower, wait_until
from pollenfold.tests.platform.test_documents import CONFIGURATION


def record_events(cluster):
    """Return the list to which all replicas add their log events from now on."""
    events = []

    def recorder(number, write):
        def record(event, **fields):
            events.append((number, event, fields))
            write(event, **fields)

        return record

    for number, running in cluster.running.items():
        running.node.log.state = recorder(number, running.node.log.state)
    return events


@pytest.mark.parametrize("is_at_leader", [True, False])
def test_log_names_the_voters_that_hold_a_command(with_cluster, is_at_leader):
    """Guards against an incident in which nobody can tell by how many voters a command
    was agreed on."""

    async def body(cluster):
        events = record_events(cluster)
        number = cluster.leader() if is_at_leader else follower(cluster)
        put = await cluster.call(number, b"PUT", "/-/config", CONFIGURATION)
        evacuation = await cluster.call(number, b"POST", "/-/evacuations/a")
        await cluster.call(number, b"GET", "/-/config")
        assert (put.status, evacuation.status) == (200, 200)
        agreed = [(k, f) for k, event, f in events if event == "order_agreed"]
        assert [k for k, _ in agreed] == [cluster.leader()] * 2
        for _, fields in agreed:
            assert fields["n_holding"] in (2, 3)
            assert (fields["n_voters"], fields["n_target"]) == (3, 3)
        answered = [f for k, event, f in events if event == "order_answered"]
        counts = [(f["n_voters"], f["n_target"]) for f in answered]
        assert counts == [(3, 3)] * 2

    with_cluster(body)


@pytest.fixture
def with_small_group(run, tmp_path, unused_ports):
    """Return a function that runs ``body(cluster)`` on three replicas of five."""

    def run_body(body):
        async def main():
            cluster = Cluster(tmp_path, unused_ports, n_members=5)
            for number in (1, 2, 3):
                await cluster.start(number, is_first=True)
            await cluster.wait_until_formed()
            try:
                await body(cluster)
            finally:
                for number in list(cluster.running):
                    await cluster.stop(number)

        run(main)

    return run_body


async def send(cluster, kind, number):
    """Send a command of one kind to a replica; return the status."""
    method, path, document = {
        "configuration": (b"PUT", "/-/config", CONFIGURATION),
        "evacuation": (b"POST", "/-/evacuations/a", None),
        "leave": (b"DELETE", "/-/instances/i-2", None),
    }[kind]
    response = await cluster.call(number, method, path, document)
    return response.status


async def lose_disk(cluster, number):
    await cluster.stop(number)
    shutil.rmtree(cluster.folder / str(number))


def has_command(cluster, kind):
    """Return whether a leader of the cluster has the command of one kind."""
    for running in cluster.running.values():
        state = running.node.cluster_state.replicated_state
        if running.node.replica.is_leader():
            return {
                "configuration": state.version == CONFIGURATION["version"],
                "evacuation": state.evacuated == {"a"},
                "leave": "i-2" in state.departures,
            }[kind]
    return False


@pytest.mark.parametrize("kind", ["configuration", "evacuation", "leave"])
@pytest.mark.parametrize("is_at_leader", [True, False])
def test_command_acknowledged_at_the_first_start_survives_two_lost_disks(
    with_small_group, kind, is_at_leader
):
    """Guards against an acknowledgement by the first two of five disks, which are lost
    afterwards: the command is gone, or the group can't elect a leader any more."""

    async def body(cluster):
        number = cluster.leader() if is_at_leader else follower(cluster)
        answer = await curio.spawn(send, cluster, kind, number)
        await curio.sleep(0.2)
        for added in (4, 5):
            await cluster.start(added)
        status = await answer.join()
        if status != 200:
            await cluster.wait_until_formed()
            status = await send(cluster, kind, number)
        assert status == 200
        for lost in (1, 2):
            await lose_disk(cluster, lost)
        for number in (1, 2):
            await cluster.start(number)
        await wait_until(lambda: has_command(cluster, kind))

    with_small_group(body)


@pytest.mark.parametrize("kind", ["configuration", "evacuation", "leave"])
def test_group_that_waits_for_its_members_acknowledges_nothing(with_small_group, kind):
    """Guards against an acknowledgement by three voters, two of which may be lost."""

    async def body(cluster):
        for number in (cluster.leader(), follower(cluster)):
            assert await send(cluster, kind, number) == 503
        states = [
            r.node.cluster_state.replicated_state for r in cluster.running.values()
        ]
        assert {state.version for state in states} == {0}
        assert all(not state.evacuated and not state.departures for state in states)

    with_small_group(body)


async def form_group_of_four(cluster):
    """Let five form the group, remove one, and return without a complete group.

    The group is configured, so that it isn't at its first start any more.
    """
    for number in (4, 5):
        await cluster.start(number)
    await cluster.wait_until_formed()
    assert await send(cluster, "configuration", cluster.leader()) == 200
    leader = cluster.running[cluster.leader()].node.replica
    removed = next(k for k in cluster.running if k != cluster.leader())
    removed_id = cluster.running[removed].node.replica_id
    await cluster.stop(removed)
    command = encode_members(leader.voters() - {removed_id})
    assert (await leader.propose(command, 1_000)).is_ok()
    await curio.sleep(LEARNER_WAIT_MS / 1000)
    return removed


@pytest.mark.parametrize("kind", ["evacuation", "leave"])
def test_waiting_replica_becomes_a_voter_before_the_acknowledgement(
    with_small_group, kind
):
    """Guards against an acknowledgement by a group of four, of which two lost disks
    leave no majority, though a fifth replica waits to become a voter."""

    async def body(cluster):
        removed = await form_group_of_four(cluster)
        leader = cluster.running[cluster.leader()].node
        leader.replica._change_members = lambda: None
        await cluster.start(removed)
        await wait_until(lambda: leader.replica.growing_since() is not None)
        for number in (cluster.leader(), follower(cluster)):
            assert await send(cluster, kind, number) == 503
            read = await cluster.call(number, b"GET", "/-/config")
            assert read.status == 200
        assert not has_command(cluster, kind)
        del leader.replica._change_members
        await cluster.wait_until_formed()
        assert await send(cluster, kind, cluster.leader()) == 200

    with_small_group(body)


@pytest.mark.parametrize("kind", ["configuration", "evacuation", "leave"])
def test_lost_disk_whose_successor_waits_is_no_voter_that_keeps_a_command(
    with_small_group, kind
):
    """Guards against an acknowledgement by five voters of which one is a lost disk: two
    further disks leave no majority, though a successor waits to become a voter."""

    async def body(cluster):
        for number in (4, 5):
            await cluster.start(number)
        await cluster.wait_until_formed()
        leader = cluster.running[cluster.leader()].node
        lost = follower(cluster)
        await lose_disk(cluster, lost)
        leader.replica._change_members = lambda: None
        await cluster.start(lost)
        await wait_until(lambda: leader.replica._state.learners)
        assert len(leader.replica.voters()) == 5
        assert await send(cluster, kind, cluster.leader()) == 503
        assert not has_command(cluster, kind)
        del leader.replica._change_members
        await cluster.wait_until_formed()
        assert await send(cluster, kind, cluster.leader()) == 200

    with_small_group(body)


@pytest.mark.parametrize("kind", ["evacuation", "leave"])
def test_lost_member_without_a_successor_delays_no_command(with_small_group, kind):
    """Guards against a group that acknowledges nothing while a member is down."""

    async def body(cluster):
        await form_group_of_four(cluster)
        assert await send(cluster, kind, cluster.leader()) == 200

    with_small_group(body)


def test_replica_that_never_becomes_a_voter_delays_commands_for_a_bounded_time(
    with_small_group,
):
    """Guards against orders that wait longer than operators allow (4 s)."""

    async def body(cluster):
        removed = await form_group_of_four(cluster)
        leader = cluster.running[cluster.leader()].node
        leader.replica._change_members = lambda: None
        await cluster.start(removed)
        await wait_until(lambda: leader.replica.growing_since() is not None)
        sent_at = system_clock()
        while await send(cluster, "evacuation", cluster.leader()) != 200:
            assert system_clock() < sent_at + 4_000
        assert system_clock() < sent_at + 4_000

    with_small_group(body)
