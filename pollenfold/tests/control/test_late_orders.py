"""Late copies of orders at control replicas; docs/incidents describes the fault."""

import signal

import curio
import pytest

from benchmarks.soak import CONTROL_PORT, Soak, exchange
from pollenfold.control.cluster_state import ClusterState
from pollenfold.control.forwarding import NOT_COMMITTED, SUPERSEDED
from pollenfold.core.command_encoding import (
    encode_command,
)
from pollenfold.core.errors import ErrorKind
from pollenfold.core.replicated_state import (
    Evacuate,
)
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.testing.ports import unused_port
from pollenfold.tests.control.test_cluster import follower
from pollenfold.wire.frames import Protocol
from pollenfold.wire.orders import ForwardedOrder, decode_order, encode_order
from pollenfold.wire.rpc import RpcClient, RpcServer

OUT, IN = Evacuate("a", True), Evacuate("a", False)
NETWORK_SEED = 192
"""Selects a network of loopback addresses that no other test uses."""


async def waiting():
    return True


async def gone():
    return False


def evacuated(cluster, number):
    return cluster.running[number].node.cluster_state.replicated_state.evacuated


async def submit(cluster, number, order, is_waiting=waiting, timeout_ms=2_000.0):
    orders = cluster.running[number].node.cluster_state.orders
    return await orders.submit(order, timeout_ms, is_waiting)


async def settle(cluster, zones):
    for running in cluster.running.values():
        state = running.node.cluster_state
        await state.read(2_000.0)
        assert state.replicated_state.evacuated == zones


@pytest.mark.parametrize("is_at_leader", [True, False])
def test_order_of_a_sender_that_left_is_not_carried_out(with_cluster, is_at_leader):
    """Guards against a withdrawal that a replica commits when it wakes."""

    async def body(cluster):
        number = cluster.leader() if is_at_leader else follower(cluster)
        assert (await submit(cluster, cluster.leader(), OUT)).is_ok()
        late = await submit(cluster, number, IN, gone)
        assert late.error is ErrorKind.ABANDONED
        await settle(cluster, {"a"})

    with_cluster(body)


@pytest.mark.parametrize("is_at_leader", [True, False])
def test_order_paused_after_its_check_is_superseded(with_cluster, is_at_leader):
    """Guards against a replica that is paused between the check of the sender and the
    command, and then undoes what was acknowledged meanwhile."""

    async def body(cluster):
        number = cluster.leader() if is_at_leader else follower(cluster)
        n_checks = 0

        async def leaves_after_the_check():
            nonlocal n_checks
            n_checks += 1
            if n_checks == 1:
                later = await submit(cluster, cluster.leader(), OUT)
                assert later.is_ok()
            return n_checks == 1

        late = await submit(cluster, number, IN, leaves_after_the_check)
        assert late.error is ErrorKind.ABANDONED
        assert n_checks == 2
        await settle(cluster, {"a"})

    with_cluster(body)


def test_order_whose_sender_waits_starts_over(with_cluster):
    """Guards against an order that is refused since another one came first, though its
    sender waits for it."""

    async def body(cluster):
        n_checks = 0

        async def still_waiting():
            nonlocal n_checks
            n_checks += 1
            if n_checks == 1:
                assert (await submit(cluster, cluster.leader(), OUT)).is_ok()
            return True

        assert (await submit(cluster, follower(cluster), IN, still_waiting)).is_ok()
        assert n_checks == 2
        await settle(cluster, set())

    with_cluster(body)


def test_forwarded_order_that_arrives_late_is_refused(with_cluster):
    """Guards against a command that lies in the socket of a paused leader, or on a cut
    connection, and takes effect after a later order."""

    async def body(cluster):
        leader = cluster.running[cluster.leader()].node
        confirmed = await leader.cluster_state.commands.confirm_at_leader(1_000.0)
        late = encode_order(ForwardedOrder(confirmed.ok.index, encode_command(IN)))
        assert (await submit(cluster, follower(cluster), OUT)).is_ok()
        response = await leader.cluster_state.orders.handle_forwarded(late)
        assert response == SUPERSEDED
        other = cluster.running[follower(cluster)].node
        response = await other.cluster_state.orders.handle_forwarded(late)
        assert response == NOT_COMMITTED
        await settle(cluster, {"a"})

    with_cluster(body)


def test_order_that_is_not_committed_yet_comes_first(with_cluster):
    """Guards against a late order that is appended behind one which is still on its way
    to the majority, and so holds after that one is acknowledged."""

    async def body(cluster):
        leader = cluster.running[cluster.leader()].node
        state = leader.cluster_state
        confirmed = await state.commands.confirm_at_leader(1_000.0)
        late = encode_order(ForwardedOrder(confirmed.ok.index, encode_command(IN)))
        send = leader.replica._calls.send

        async def drop(message):
            return None

        leader.replica._calls.send = drop
        order = await curio.spawn(leader.replica.propose, encode_command(OUT), 2_000.0)
        await curio.sleep(0)
        assert leader.replica.status()["last_index"] > leader.replica.applied_index()
        assert await state.orders.handle_forwarded(late) == SUPERSEDED
        leader.replica._calls.send = send
        assert (await order.join()).is_ok()
        await settle(cluster, {"a"})

    with_cluster(body)


def test_order_from_before_a_snapshot_starts_over(with_cluster):
    """Guards against a leader that takes compacted entries for none."""

    async def body(cluster):
        leader = cluster.running[cluster.leader()].node
        late = encode_order(ForwardedOrder(1, encode_command(IN)))
        assert (await submit(cluster, cluster.leader(), OUT)).is_ok()
        for number in range(300):
            await leader.replica.propose(b"\0", 2_000.0)
        assert leader.replica.status()["snapshot_index"] > 1
        assert await leader.cluster_state.orders.handle_forwarded(late) == SUPERSEDED
        assert (await submit(cluster, follower(cluster), IN)).is_ok()
        await settle(cluster, set())

    with_cluster(body)


def test_leave_of_a_sender_that_left_binds_no_later_incarnation(with_cluster):
    """Guards against a late copy of a leave that takes a restarted endpoint out."""

    async def body(cluster):
        state = cluster.running[cluster.leader()].node.cluster_state
        left = await state.depart("i-1", 5, 1_000.0, gone)
        assert left.error is ErrorKind.ABANDONED
        assert not state.replicated_state.departures

    with_cluster(body)


# Replicas of earlier versions


class EarlierLeader:
    """Stands in for a leader of the version before, as a process would respond."""

    def __init__(self):
        self.port = unused_port()
        self.commands = []
        self.leader_id_text = f"127.0.0.1:{self.port}/x"

    async def start(self):
        server = RpcServer({Protocol.OPERATOR: self.handle})
        await curio.spawn(server.serve, "127.0.0.1", self.port, daemon=True)
        await curio.sleep(0.05)

    async def handle(self, command):
        if command:
            self.commands.append(command)
        return (7).to_bytes(8, "big")

    def is_leader(self):
        return False

    def leader_id(self):
        return self.leader_id_text


def test_leader_of_the_version_before_gets_the_command_as_before(run):
    """Guards against orders that fail while the leader isn't replaced yet."""

    async def main():
        leader = EarlierLeader()
        await leader.start()
        state = ClusterState(3, system_clock, EventLog("c", system_clock, write=len))
        state.commands.replica = leader
        assert (await state.orders.submit(OUT, 900.0, waiting)).ok == 7
        abandoned = await state.orders.submit(IN, 900.0, gone)
        assert abandoned.error is ErrorKind.ABANDONED
        assert leader.commands == [encode_command(OUT)]

    run(main)


def test_replica_of_the_version_before_reads_the_confirmation(with_cluster):
    """Guards against a longer confirmation that an earlier version reads as another
    index, and against a command of an earlier version that isn't committed."""

    async def body(cluster):
        number = cluster.leader()
        node = cluster.running[number].node
        client = RpcClient(node.settings.host, node.settings.peer_port)
        response = await client.call(Protocol.OPERATOR, b"", 1_000.0)
        commit_index = node.replica.status()["commit_index"]
        assert int.from_bytes(response.ok, "big") == commit_index
        command = encode_command(OUT)
        response = await client.call(Protocol.OPERATOR, command, 1_000.0)
        assert len(response.ok) == 8
        await settle(cluster, {"a"})

    with_cluster(body)


def test_malformed_order_is_an_error():
    """Guards against an exception other than the declared ones."""
    for payload in (b"", b"\0" * 7, b"\xff" * 64):
        assert decode_order(payload).is_error()


# Real processes


@pytest.fixture
def system(tmp_path):
    """Return three control processes."""
    system = Soak(NETWORK_SEED, tmp_path, 1)
    system.entries = []
    yield system
    for program in system.controls:
        program.kill()


async def order(host, method, wait_s=1.0):
    """Send an order on zone a; return its status, 0 without a response."""
    path = "/-/evacuations/a"
    response = await exchange(host, CONTROL_PORT, method, path, [], b"", wait_s)
    return 0 if response is None else response.status


async def order_until_accepted(system, hosts, method):
    async with curio.timeout_after(10):
        while True:
            for host in hosts:
                if await order(host, method) == 200:
                    return
            await curio.sleep(0.05)


def applied_orders(program):
    lines = (program.folder / "log").read_text().splitlines()
    return [
        line.split("subject=")[1].split()[0]
        for line in lines
        if "event=order_applied" in line and "kind=evacuate" in line
    ]


@pytest.mark.parametrize("is_leader", [True, False])
def test_paused_process_carries_out_no_order_of_a_sender_that_left(system, is_leader):
    """Guards against the fault of review case 1: the zone counts as taken back though
    the newest acknowledged order is its evacuation."""

    async def main():
        for program in system.controls:
            program.start(system.seeds, True)
        await system.put_configuration()
        await order_until_accepted(system, system.seeds, b"POST")
        leader_host = await leader_host_of(system)
        paused = next(
            p for p in system.controls if (p.host == leader_host) == is_leader
        )
        others = [p for p in system.controls if p is not paused]
        paused.signal(signal.SIGSTOP)
        assert await order(paused.host, b"DELETE") == 0
        hosts = [p.host for p in others]
        await order_until_accepted(system, hosts, b"DELETE")
        await order_until_accepted(system, hosts, b"POST")
        paused.signal(signal.SIGCONT)
        log = paused.folder / "log"
        async with curio.ignore_after(3):
            while "event=order_abandoned" not in log.read_text():
                await curio.sleep(0.05)
        # The logs are written every 0.1 s.
        await curio.sleep(1.0)
        assert applied_orders(others[0]) == ["a:out", "a:in", "a:out"]
        assert "event=order_abandoned" in log.read_text()

    curio.run(main)


async def leader_host_of(system):
    """Return the host of the leader, from the answered orders."""
    # The logs are written every 0.1 s, so the line may follow the answer.
    await curio.sleep(0.5)
    for program in system.controls:
        for line in reversed((program.folder / "log").read_text().splitlines()):
            if "event=order_answered" in line and "leader=None" not in line:
                return line.split("leader=")[1].split(":")[0]
    raise AssertionError("no order was answered")
