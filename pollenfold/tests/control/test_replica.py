"""Control replicas over loopback: restarts, failed writes, partitions."""

import shutil

import curio
import pytest
from expression import Error

from pollenfold.control.replica import Replica
from pollenfold.core.errors import ErrorKind, Failure
from pollenfold.observe.clock import system_clock
from pollenfold.storage.journal import Journal
from pollenfold.testing.listening import listening_socket
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcServer


class Node:
    """One replica whose state machine is the list of its commands."""

    def __init__(self, cluster, replica_id):
        self.cluster = cluster
        self.replica_id = replica_id
        self.folder = cluster.folder / replica_id
        self.is_isolated = False
        self.is_disk_full = False
        self.tasks = []

    async def start(self):
        self.commands = []
        self.replica = Replica(
            self.replica_id,
            self.cluster.peers,
            self.folder,
            lambda index, command: self.commands.append(command),
            lambda: b"\n".join(self.commands),
            self.restore,
            system_clock,
            seed=ord(self.replica_id),
            open_journal=self.open_journal,
        )
        send = self.replica._calls.send

        async def send_unless_isolated(message):
            if not self.is_isolated:
                await send(message)

        self.replica._calls.send = send_unless_isolated
        server = RpcServer({Protocol.AGREEMENT: self.handle})
        sock = self.cluster.listen(self.replica_id)
        self.tasks = [
            await curio.spawn(curio.network.run_server, sock, server.handle),
            await curio.spawn(self.replica.run),
        ]

    def restore(self, data):
        self.commands[:] = data.split(b"\n")

    async def handle(self, payload):
        return b"" if self.is_isolated else await self.replica.handle(payload)

    def open_journal(self, path):
        journal, entries = Journal.open(path)
        append = journal.append

        def append_unless_full(entries):
            if self.is_disk_full:
                return Error(Failure(ErrorKind.STORAGE_FAILED, "no space left"))
            return append(entries)

        journal.append = append_unless_full
        journal.rewrite = (
            journal.rewrite if not self.is_disk_full else append_unless_full
        )
        return journal, entries

    async def stop(self):
        for task in self.tasks:
            await task.cancel()
        self.tasks = []


class Cluster:
    def __init__(self, folder, n_replicas):
        self.folder = folder
        names = "abcde"[:n_replicas]
        self.sockets = {k: listening_socket("127.0.0.1", 0) for k in names}
        self.peers = {k: s.getsockname() for k, s in self.sockets.items()}
        self.nodes = {k: Node(self, k) for k in names}

    def listen(self, replica_id):
        """Return the initial socket, or after a restart a new one on the same port."""
        sock = self.sockets.pop(replica_id, None)
        return sock or listening_socket(*self.peers[replica_id])

    async def start(self):
        for node in self.nodes.values():
            await node.start()

    async def stop(self):
        for node in self.nodes.values():
            await node.stop()

    async def leader(self):
        while True:
            for node in self.nodes.values():
                if node.tasks and node.replica.is_leader():
                    return node
            await curio.sleep(0.02)

    async def propose(self, *commands):
        """Propose each command until it is committed."""
        for command in commands:
            while True:
                node = await self.leader()
                if (await node.replica.propose(command, 1000)).is_ok():
                    break


async def wait_until(condition):
    """Wait until the condition holds; the fixture limits the whole test."""
    while not condition():
        await curio.sleep(0.02)


@pytest.fixture
def cluster_run(run, tmp_path):
    """Return a function that runs a test with a started cluster."""

    def run_with_cluster(function, n_replicas=3):
        async def main():
            cluster = Cluster(tmp_path, n_replicas)
            await cluster.start()
            try:
                await function(cluster)
            finally:
                await cluster.stop()

        run(main)

    return run_with_cluster


@pytest.mark.parametrize("n_replicas", [1, 3])
def test_commands_reach_all_replicas_in_order(cluster_run, n_replicas):
    """Guards against commands that are lost, repeated or reordered."""

    async def check(cluster):
        leader = await cluster.leader()
        commands = [b"%d" % i for i in range(20)]
        indexes = []
        for command in commands:
            indexes.append((await leader.replica.propose(command, 1000)).ok)
        assert indexes == sorted(set(indexes))
        assert leader.replica.applied_index() == indexes[-1]
        for node in cluster.nodes.values():
            await wait_until(lambda: len(node.commands) == 20)
            assert node.commands == commands
            is_leader = node is leader
            assert node.replica.leader_id() == leader.replica_id
            assert (node.replica.leader_since() is not None) == is_leader
            if not is_leader:
                refused = await node.replica.propose(b"x", 1000)
                assert refused.error is ErrorKind.NOT_LEADER

    cluster_run(check, n_replicas)


def test_restart_after_500_changes_gives_the_same_state(cluster_run):
    """Guards against a restart that loses changes before or after a snapshot."""

    async def check(cluster):
        commands = [b"%d" % i for i in range(500)]
        await cluster.propose(*commands)
        await cluster.stop()
        await cluster.start()
        await cluster.propose(b"last")
        for node in cluster.nodes.values():
            await wait_until(lambda: node.commands and node.commands[-1] == b"last")
            assert node.commands == [*commands, b"last"]
            assert node.replica.status()["snapshot_index"] >= 256

    cluster_run(check)


def test_torn_last_entry_is_truncated(cluster_run):
    """Guards against a torn write that stops a replica or hides later entries."""

    async def check(cluster):
        commands = [b"%d" % i for i in range(5)]
        await cluster.propose(*commands)
        await cluster.stop()
        for node in cluster.nodes.values():
            with open(node.folder / "log", "ab") as file:
                file.write(b"\x00\x00\x00\x40" + b"part of an entry")
        await cluster.start()
        await cluster.propose(b"last")
        await cluster.stop()
        await cluster.start()
        for node in cluster.nodes.values():
            await wait_until(lambda: node.commands and node.commands[-1] == b"last")
            assert node.commands == [*commands, b"last"]

    cluster_run(check)


def test_full_disk_makes_the_leader_step_down(cluster_run):
    """Guards against acknowledging a change that isn't stored, and a crash loop."""

    async def check(cluster):
        await cluster.propose(b"first")
        failed = await cluster.leader()
        failed.is_disk_full = True
        refused = await failed.replica.propose(b"lost", 1000)
        assert refused.error is ErrorKind.STORAGE_FAILED
        assert not failed.replica.is_leader()
        assert failed.replica.status()["is_storage_failed"]
        again = await failed.replica.propose(b"refused", 1000)
        assert again.error is ErrorKind.NOT_LEADER
        await cluster.propose(b"second")
        assert failed.replica.status()["is_storage_failed"]
        failed.is_disk_full = False
        await wait_until(lambda: failed.commands == [b"first", b"second"])

    cluster_run(check)


def test_isolated_replica_returns_without_an_election(cluster_run):
    """Guards against a returning replica that deposes the leader."""

    async def check(cluster):
        leader = await cluster.leader()
        isolated = next(n for n in cluster.nodes.values() if n is not leader)
        await cluster.propose(b"first")
        await wait_until(lambda: isolated.commands == [b"first"])
        term = leader.replica.status()["term"]
        isolated.is_isolated = True
        await wait_until(lambda: isolated.replica.status()["role"] == "pre_candidate")
        await curio.sleep(1)
        await cluster.propose(b"second")
        assert isolated.commands == [b"first"]
        isolated.is_isolated = False
        await wait_until(lambda: isolated.commands == [b"first", b"second"])
        assert leader.replica.is_leader()
        assert {n.replica.status()["term"] for n in cluster.nodes.values()} == {term}

    cluster_run(check)


def test_isolated_leader_steps_down(cluster_run):
    """Guards against an old leader that still accepts changes or claims to lead."""

    async def check(cluster):
        await cluster.propose(b"first")
        old = await cluster.leader()
        old.is_isolated = True
        lost = await old.replica.propose(b"lost", 1500)
        assert lost.error is ErrorKind.NO_QUORUM
        assert not old.replica.is_leader()
        await cluster.propose(b"second")
        old.is_isolated = False
        await wait_until(lambda: old.commands == [b"first", b"second"])

    cluster_run(check)


def test_replaced_disk_is_restored_from_the_leader(cluster_run):
    """Guards against a replica that stays empty or votes early on a replaced disk."""

    async def check(cluster):
        await cluster.propose(*[b"%d" % i for i in range(300)])
        lost = next(iter(cluster.nodes.values()))
        await lost.stop()
        shutil.rmtree(lost.folder)
        await lost.start()
        assert lost.replica.status()["is_blank"]
        await wait_until(lambda: not lost.replica.status()["is_blank"])
        await cluster.propose(b"last")
        await wait_until(lambda: len(lost.commands) == 301)

    cluster_run(check)


def test_malformed_message_is_ignored(cluster_run):
    """Guards against malformed input on the peer port that stops a replica."""

    async def check(cluster):
        leader = await cluster.leader()
        for garbage in (b"", b"\x00" * 8, b"\xff" * 64):
            assert await leader.replica.handle(garbage) == b""
        assert leader.replica.is_leader()

    cluster_run(check)


def test_unresponsive_connection_is_reopened(run, tmp_path):
    """Guards against a connection that stays unresponsive long after a partition."""

    async def main():
        n_accepted = 0

        async def swallow(client, address):
            nonlocal n_accepted
            n_accepted += 1
            while await client.recv(1000):
                pass

        cluster = Cluster(tmp_path, 2)
        silent = cluster.listen("b")
        task = await curio.spawn(curio.network.run_server, silent, swallow)
        await cluster.nodes["a"].start()
        await wait_until(lambda: n_accepted > 1)
        await cluster.stop()
        await task.cancel()

    run(main)
