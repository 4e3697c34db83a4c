"""Which replicas confirm that a state is the newest, and at what cost."""

import curio
from expression import Ok

from pollenfold.control.cluster_state import ClusterState
from pollenfold.control.confirmer import Confirmer
from pollenfold.core.replicated_state import Evacuate
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.tests.control.test_cluster import entry_view, wait_until
from pollenfold.tests.control.test_stale_start import cut_off
from pollenfold.tests.platform.test_documents import CONFIGURATION
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcServer


def test_each_replica_confirms_the_last_acknowledged_change(with_cluster):
    """Guards against a follower that confirms an index from before a change."""

    async def body(cluster):
        for version, number in ((7, 1), (8, 2), (9, 3)):
            document = {**CONFIGURATION, "version": version}
            await cluster.call(number, b"PUT", "/-/config", document)
            index = cluster.running[number].node.cluster_state.replicated_state.index
            for running in cluster.running.values():
                confirmed = await running.node.cluster_state.confirm(1_000.0)
                assert confirmed.ok >= index
                assert running.node.cluster_state.replicated_state.version == version

    with_cluster(body)


def test_leader_that_was_deposed_without_knowing_confirms_nothing(with_cluster):
    """Guards against a former leader that confirms its state after the others elected
    another one and accepted a change."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        former = cluster.leader()
        state = cluster.running[former].node.cluster_state
        assert (await state.confirm(1_000.0)).is_ok()
        cut_off(cluster.running[former].node)
        others = [number for number in cluster.running if number != former]
        newer = {**CONFIGURATION, "version": 8}
        async with curio.timeout_after(8):
            while (
                await cluster.call(others[0], b"PUT", "/-/config", newer)
            ).status != 200:
                assert (await state.confirm(100.0)).is_error()
        assert (await state.confirm(500.0)).is_error()
        other = cluster.running[others[1]].node.cluster_state
        assert (await other.confirm(1_000.0)).is_ok()
        assert other.replicated_state.version == 8

    with_cluster(body)


class Follower:
    """Stands in for a replica that knows its leader."""

    def __init__(self, leader_id):
        self._leader_id = leader_id

    def is_leader(self):
        return False

    def leader_id(self):
        return self._leader_id


def test_failed_confirmation_ends_no_forwarded_command(run, unused_ports):
    """Guards against an operator's command that is lost because a leader of an earlier
    version couldn't handle a confirmation on the same connection."""

    async def handle(command):
        if not command:
            raise ValueError("expected a command")
        await curio.sleep(0.1)
        return (7).to_bytes(8, "big")

    async def main():
        port = unused_ports[0]
        server = RpcServer({Protocol.OPERATOR: handle})
        await curio.spawn(server.serve, "127.0.0.1", port, daemon=True)
        await curio.sleep(0.05)
        state = ClusterState(3, system_clock, EventLog("c", system_clock, write=len))
        state.commands.replica = Follower(f"127.0.0.1:{port}/x")
        assert (await state.submit(Evacuate("a", True), 900.0)).is_ok()
        command = await curio.spawn(state.submit, Evacuate("a", False), 900.0)
        await curio.sleep(0.03)
        assert (await state.confirm(600.0)).is_error()
        assert (await command.join()).is_ok()

    run(main)


def test_entries_that_wait_together_share_one_round(run):
    """Guards against a round of all replicas for each of hundreds of entries that start
    at the same moment."""

    class CountingState:
        n_calls = 0

        async def confirm(self, timeout_ms):
            self.n_calls += 1
            await curio.sleep(0.02)
            return Ok(5)

    async def main():
        state, responses = CountingState(), {}
        confirmer = Confirmer(state, EventLog("c1", system_clock, write=len))
        await curio.spawn(confirmer.run, daemon=True)
        for number in range(312):
            name = f"e{number}"

            def respond(request_id, index, name=name):
                responses[name] = (request_id, index)

            await confirmer.request(name, number, respond)
        await wait_until(lambda: len(responses) == 312)
        assert state.n_calls <= 2
        assert responses["e7"] == (7, 5)

    run(main)


def test_all_entries_learn_that_their_state_is_current(with_cluster):
    """Guards against entries that refuse to say 404 though all replicas are there."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        views = [(await entry_view(cluster, f"e{n}"))[0] for n in range(12)]
        await wait_until(lambda: all(view.is_state_current() for view in views), 3.0)
        # It stays so while nothing changes, and after a change.
        await curio.sleep(3.0)
        assert all(view.is_state_current() for view in views)
        await cluster.call(2, b"POST", "/-/evacuations/a")
        await wait_until(
            lambda: all("a" in v.replicated_state.evacuated for v in views)
        )
        assert all(view.is_state_current() for view in views)

    with_cluster(body)
