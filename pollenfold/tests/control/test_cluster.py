"""Control replicas that discover each other from seeds, with their API and feeds."""

import json
from dataclasses import dataclass
from pathlib import Path

import curio
import pytest
from expression import Error

from pollenfold.control.cluster import ClusterNode, ClusterSettings
from pollenfold.control.leader_watch import NO_LEADER_LOG_MS
from pollenfold.core.clock import add_ms
from pollenfold.core.errors import ErrorKind
from pollenfold.core.replicated_state import Configure, Depart, Evacuate
from pollenfold.gateway.feeds import FeedIdentity, Feeds
from pollenfold.gateway.view import FleetView
from pollenfold.http.messages import Request
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.platform.control_api import ControlApi
from pollenfold.platform.documents import configuration_decoder
from pollenfold.platform.quota_documents import quota_decoder
from pollenfold.testing.ports import unused_port
from pollenfold.tests.core.test_replicated_state import announcement
from pollenfold.tests.platform.test_documents import ANNOUNCEMENT, CONFIGURATION

PORT_BASE = 21_000


@dataclass
class RunningReplica:
    node: ClusterNode
    api: ControlApi
    tasks: list


class Cluster:
    """Replicas on loopback addresses 127.0.0.x, each with its own data folder."""

    def __init__(self, folder: Path, ports: tuple[int, int], n_members: int = 3):
        self.folder = folder
        self.n_members = n_members
        self.peer_port, self.feed_port = ports
        self.running = {}
        self.seeds = ["127.0.0.1", "127.0.0.2"]

    async def start(self, number, is_first=False):
        host = f"127.0.0.{number}"
        settings = ClusterSettings(
            name=f"core-{number}",
            zone="a",
            host=host,
            peer_port=self.peer_port,
            feed_port=self.feed_port,
            api_host=host,
            api_port=0,
            metrics_port=0,
            data_folder=self.folder / str(number),
            seeds=lambda: self.seeds,
            reload=lambda: None,
            is_founder=is_first and number == 1,
            n_members=self.n_members,
            decode_quotas=quota_decoder(),
        )
        node = ClusterNode(settings)
        node.load_endpoints()
        tasks = [
            await curio.spawn(node.rpc.serve, host, self.peer_port, daemon=True),
            await curio.spawn(
                node.feed_server.serve, host, self.feed_port, daemon=True
            ),
            await curio.spawn(node.replica.run, daemon=True),
            await curio.spawn(node.feed_server.run, daemon=True),
            await curio.spawn(node.feed_server.run_confirmations, daemon=True),
            await curio.spawn(node.quota_server.run, daemon=True),
            await curio.spawn(node.feeds.run, daemon=True),
            await curio.spawn(node.membership.run, daemon=True),
            await curio.spawn(node.persist_endpoints, daemon=True),
            await curio.spawn(node.rollouts.run, daemon=True),
        ]
        api = ControlApi(node, 80, frozenset({"a", "b"}))
        self.running[number] = RunningReplica(node, api, tasks)

    async def stop(self, number):
        for task in self.running.pop(number).tasks:
            await task.cancel()

    async def wait_until_formed(self):
        """Wait until all running replicas agree that exactly they are the voters."""
        async with curio.timeout_after(10):
            while True:
                nodes = [running.node for running in self.running.values()]
                sets = {node.replica.voters() for node in nodes}
                is_led = any(node.replica.is_leader() for node in nodes)
                if is_led and sets == {frozenset(node.replica_id for node in nodes)}:
                    return
                await curio.sleep(0.02)

    async def wait_until_joined(self, number):
        """Wait until a replica that was started as a learner has received the log."""
        async with curio.timeout_after(10):
            while not self.running[number].node.replica.applied_index():
                await curio.sleep(0.02)

    def leader(self):
        return next(k for k, r in self.running.items() if r.node.replica.is_leader())

    async def call(self, number, method, path, document=None):
        body = b"" if document is None else json.dumps(document).encode()
        request = Request(method, path.encode(), [], body)
        return await self.running[number].api.handle(request)


@pytest.fixture
def with_cluster(run, tmp_path, unused_ports):
    """Return a function that runs ``body(cluster)`` on a cluster of three replicas."""

    def run_body(body):
        async def main():
            cluster = Cluster(tmp_path, unused_ports)
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


@pytest.fixture
def unused_ports():
    """Return two ports that are free on the loopback addresses."""
    return unused_port(), unused_port()


def follower(cluster):
    return next(k for k in cluster.running if k != cluster.leader())


def test_command_through_any_replica_is_read_through_any_other(with_cluster):
    """Guards against a replica that responds with an outdated configuration."""

    async def body(cluster):
        for version, number in ((7, follower(cluster)), (8, cluster.leader())):
            document = {**CONFIGURATION, "version": version}
            put = await cluster.call(number, b"PUT", "/-/config", document)
            assert put.status == 200
            for other in cluster.running:
                got = await cluster.call(other, b"GET", "/-/config")
                assert json.loads(got.body)["version"] == version

    with_cluster(body)


def test_older_and_equal_versions_are_acknowledged_and_change_nothing(with_cluster):
    """Guards against applying different content under a version already in use."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        for version in (7, 3):
            other = {**CONFIGURATION, "version": version, "hosts": []}
            put = await cluster.call(2, b"PUT", "/-/config", other)
            assert put.status == 200
        got = await cluster.call(3, b"GET", "/-/config")
        assert json.loads(got.body) == CONFIGURATION

    with_cluster(body)


def test_two_operators_race_on_one_version(with_cluster):
    """Guards against replicas that hold different content under one version."""

    async def body(cluster):
        calls = [
            await curio.spawn(
                cluster.call,
                number,
                b"PUT",
                "/-/config",
                {**CONFIGURATION, "hosts": [{"host": f"h{number}", "paths": []}]},
            )
            for number in cluster.running
        ]
        assert {(await call.join()).status for call in calls} == {200}
        contents = set()
        for number in cluster.running:
            contents.add((await cluster.call(number, b"GET", "/-/config")).body)
        assert len(contents) == 1

    with_cluster(body)


def test_invalid_command_is_rejected_and_changes_nothing(with_cluster):
    """Guards against an invalid configuration that is committed."""

    async def body(cluster):
        put = await cluster.call(1, b"PUT", "/-/config", {"version": 9})
        assert put.status == 400
        assert (await cluster.call(1, b"GET", "/-/config")).status == 503
        assert (await cluster.call(1, b"POST", "/-/evacuations/x")).status == 404
        malformed = await cluster.call(1, b"PUT", "/-/instances/i-1", {"address": 5})
        assert malformed.status == 400
        assert (await cluster.call(1, b"PATCH", "/-/config")).status == 404

    with_cluster(body)


def test_minority_acknowledges_and_reads_nothing(with_cluster):
    """Guards against a replica that acknowledges or reads without a majority."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        isolated = cluster.leader()
        for number in list(cluster.running):
            if number != isolated:
                await cluster.stop(number)
        newer = {**CONFIGURATION, "version": 8}
        assert (await cluster.call(isolated, b"PUT", "/-/config", newer)).status == 503
        assert (await cluster.call(isolated, b"GET", "/-/config")).status == 503
        assert (await cluster.call(isolated, b"POST", "/-/evacuations/a")).status == 503
        leaving = {
            **ANNOUNCEMENT,
            "status": {**ANNOUNCEMENT["status"], "state": "draining"},
        }
        drain = await cluster.call(isolated, b"PUT", "/-/instances/i-1", leaving)
        assert drain.status == 503

    with_cluster(body)


def test_all_replicas_restart_and_hold_what_was_acknowledged(with_cluster):
    """Guards against a restart of all replicas that loses commands or endpoints."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        await cluster.call(2, b"POST", "/-/evacuations/a")
        await cluster.call(3, b"PUT", "/-/instances/i-1", ANNOUNCEMENT)
        await cluster.call(3, b"DELETE", "/-/instances/i-2")
        await curio.sleep(1.3)
        for number in (1, 2, 3):
            await cluster.stop(number)
        for number in (1, 2, 3):
            await cluster.start(number)
        await cluster.wait_until_formed()
        got = await cluster.call(2, b"GET", "/-/config")
        assert json.loads(got.body) == CONFIGURATION
        for running in cluster.running.values():
            assert running.node.cluster_state.replicated_state.evacuated == {"a"}
            assert "i-2" in running.node.cluster_state.replicated_state.departures
            assert running.node.cluster_state.registry.get("i-1") is not None

    with_cluster(body)


def test_replica_with_a_lost_disk_rejoins_as_a_new_member(with_cluster):
    """Guards against losing an acknowledged command with the disk of one replica."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        lost = cluster.leader()
        before = cluster.running[lost].node.replica_id
        await cluster.stop(lost)
        cluster.folder = cluster.folder / "new"
        await cluster.start(lost)
        await cluster.wait_until_formed()
        after = cluster.running[lost].node.replica_id
        assert after != before
        assert after in cluster.running[lost].node.replica.voters()
        got = await cluster.call(lost, b"GET", "/-/config")
        assert json.loads(got.body) == CONFIGURATION

    with_cluster(body)


def test_replica_that_is_no_member_redirects_callers(with_cluster):
    """Guards against an acknowledgement by a replica that isn't a voter yet."""

    async def body(cluster):
        await cluster.start(4)
        node = cluster.running[4].node
        async with curio.timeout_after(5):
            while node.membership.leader_host() is None:
                await curio.sleep(0.02)
        response = await cluster.call(4, b"PUT", "/-/instances/i-1", ANNOUNCEMENT)
        assert response.status == 307
        location = dict(response.headers)[b"location"].decode()
        assert location == f"http://127.0.0.{cluster.leader()}:80/-/instances/i-1"

    with_cluster(body)


async def entry_view(cluster, name="e1", write=lambda data: None):
    """Return the view of an entry that subscribes to the feeds, and its task."""

    def write_all(data):
        write(data)
        return len(data)

    log = EventLog(name, system_clock, write=write_all)
    view = FleetView(configuration_decoder(), system_clock, log)
    feeds = Feeds(
        FeedIdentity(name, "a"),
        view,
        lambda: cluster.seeds,
        cluster.feed_port,
        system_clock,
        log,
    )
    return view, await curio.spawn(feeds.run, daemon=True)


async def wait_until(condition, timeout_s=5.0):
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.01)


def test_entry_receives_all_state_from_the_feeds(with_cluster):
    """Guards against an entry that misses a command, an endpoint or a departure."""

    async def body(cluster):
        view, _ = await entry_view(cluster)
        await wait_until(
            lambda: view.control_hosts == {f"127.0.0.{k}" for k in (1, 2, 3)}
        )
        await cluster.call(3, b"PUT", "/-/config", CONFIGURATION)
        await wait_until(lambda: view.configuration is not None, 1.5)
        await cluster.call(2, b"PUT", "/-/instances/i-1", ANNOUNCEMENT)
        await wait_until(lambda: len(view.by_service.get("booking", ())) == 1, 1.5)
        assert view.fleet.get(system_clock()) >= 1
        drain = await cluster.call(1, b"DELETE", "/-/instances/i-1")
        assert drain.status == 200
        await wait_until(lambda: not view.by_service.get("booking"), 1.5)
        late = {**ANNOUNCEMENT, "status": {**ANNOUNCEMENT["status"], "sequence": 99}}
        await cluster.call(2, b"PUT", "/-/instances/i-1", late)
        await curio.sleep(0.2)
        assert not view.by_service.get("booking")
        reborn = {**late, "born": ANNOUNCEMENT["born"] + 1}
        await cluster.call(2, b"PUT", "/-/instances/i-1", reborn)
        await wait_until(lambda: len(view.by_service.get("booking", ())) == 1, 1.5)

    with_cluster(body)


def test_entry_follows_changes_of_the_configuration_across_restarts(with_cluster):
    """Guards against an entry that gets no configuration, or whole ones only, after
    replicas restarted and lost the versions that they had sent before."""

    async def body(cluster):
        lines = []
        view, _ = await entry_view(cluster, write=lines.append)

        async def configure(version, number):
            document = {**CONFIGURATION, "version": version}
            put = await cluster.call(number, b"PUT", "/-/config", document)
            assert put.status == 200
            await wait_until(lambda: view.replicated_state.version == version)
            assert json.loads(view.replicated_state.document) == document
            view._log.flush()
            text = b"".join(lines).decode()
            received = text.split(f" version={version} n_document_chars=")[1]
            return received.split("base_version=")[1].split()[0]

        assert await configure(7, 1) == "0"
        assert await configure(8, 2) == "7"
        for number in (1, 2, 3):
            await cluster.stop(number)
        for number in (1, 2, 3):
            await cluster.start(number)
        await cluster.wait_until_formed()
        assert await configure(9, 3) in ("0", "8")
        assert await configure(10, 1) == "9"

    with_cluster(body)


def test_entry_fails_over_when_its_update_source_is_lost(with_cluster):
    """Guards against an entry that receives no more endpoints, or drops the known ones,
    after the loss of the replica that was its update source."""

    async def body(cluster):
        lines = []
        view, _ = await entry_view(cluster, write=lines.append)

        def sources():
            text = b"".join(lines).decode().splitlines()
            return [
                line.split("control=")[1].split()[0]
                for line in text
                if "event=news_source" in line
            ]

        await wait_until(lambda: len(view.control_hosts) == 3)
        await cluster.call(2, b"PUT", "/-/instances/i-1", ANNOUNCEMENT)
        await wait_until(lambda: "i-1" in view.endpoints)
        view._log.flush()
        # Replicas that start together connect to each other one by one, so the entry
        # may change its update source once.
        assert len(sources()) <= 2
        lost = int(sources()[-1].rpartition(".")[2])
        await cluster.stop(lost)
        other = next(k for k in cluster.running if k != lost)
        fields = {**ANNOUNCEMENT, "address": "10.0.0.10:8080"}
        await cluster.call(other, b"PUT", "/-/instances/i-2", fields)
        await wait_until(lambda: "i-2" in view.endpoints, 4.0)
        assert "i-1" in view.endpoints

    with_cluster(body)


def test_entry_keeps_working_when_a_replica_is_lost(with_cluster):
    """Guards against an entry that depends on one replica."""

    async def body(cluster):
        view, _ = await entry_view(cluster)
        await wait_until(lambda: len(view.control_hosts) == 3)
        await cluster.stop(cluster.leader())
        async with curio.timeout_after(8):
            while True:
                put = await cluster.call(
                    next(iter(cluster.running)), b"PUT", "/-/config", CONFIGURATION
                )
                if put.status == 200:
                    break
        await wait_until(lambda: view.configuration is not None, 2.0)

    with_cluster(body)


def test_zone_that_returns_is_unconfirmed(with_cluster):
    """Guards against full load on endpoints that turned cold during an evacuation."""

    async def body(cluster):
        view, _ = await entry_view(cluster)
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        await cluster.call(1, b"PUT", "/-/instances/i-1", ANNOUNCEMENT)
        await wait_until(lambda: len(view.by_service.get("booking", ())) == 1)
        await cluster.call(1, b"POST", "/-/evacuations/a")
        await wait_until(lambda: not view.by_service.get("booking"), 1.5)
        await cluster.call(1, b"DELETE", "/-/evacuations/a")
        await wait_until(lambda: len(view.by_service.get("booking", ())) == 1, 1.5)
        endpoint = view.by_service["booking"][0]
        assert endpoint.is_cold(system_clock())
        view.confirm_warmup(endpoint, 0.0)
        assert not endpoint.is_cold(system_clock())

    with_cluster(body)


def test_malformed_feed_input_closes_only_its_connection(with_cluster):
    """Guards against input from an unrelated client that stops the daemon."""

    async def body(cluster):
        sock = await curio.open_connection("127.0.0.1", cluster.feed_port)
        await sock.sendall(b"\x00\xffnot json\n")
        assert await sock.recv(100) == b""
        logs = [running.node.log._buffer for running in cluster.running.values()]
        assert sum(log.count(b"event=feed_rejected") for log in logs) == 1
        view, _ = await entry_view(cluster)
        await wait_until(lambda: len(view.control_hosts) == 3)

    with_cluster(body)


def test_redundant_commands_are_acknowledged_without_a_majority(with_cluster):
    """Guards against a retry of an acknowledged command that needs a majority."""

    async def body(cluster):
        node = cluster.running[1].node
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        await node.cluster_state.announce(announcement(is_leaving=True), 900)
        for number in (2, 3):
            await cluster.stop(number)
        cluster_state = node.cluster_state
        assert (await cluster_state.submit(Configure(7, "{}"), 200)).is_ok()
        assert (await cluster_state.submit(Depart("i-1", 1000), 200)).is_ok()
        result = await cluster_state.submit(Evacuate("a", False), 200)
        assert result.error in (ErrorKind.NO_QUORUM, ErrorKind.NOT_LEADER)

    with_cluster(body)


BORN_MS = ANNOUNCEMENT["born"]


@pytest.mark.parametrize("step_ms", [-5_000, 60_000])
def test_departure_at_a_replica_that_lost_its_disk_applies_to_one_incarnation(
    with_cluster, step_ms
):
    """Guards against a departed server that is used again, or a new incarnation that
    gets no requests: the replica lost its disk and used its clock, which had jumped,
    in place of the start time of the incarnation."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/instances/i-1", ANNOUNCEMENT)
        cluster_states = [
            running.node.cluster_state for running in cluster.running.values()
        ]
        await wait_until(
            lambda: all(
                cluster_state.registry.get("i-1") for cluster_state in cluster_states
            )
        )
        await cluster.stop(3)
        cluster.folder = cluster.folder / "new"
        await cluster.start(3)
        cluster_state = cluster.running[3].node.cluster_state
        assert cluster_state.registry.get("i-1") is None
        departure = await cluster_state.depart("i-1", BORN_MS + step_ms, 5_000)
        assert departure.is_ok()
        await wait_until(lambda: "i-1" in cluster_state.replicated_state.departures)
        assert cluster_state.replicated_state.has_departed("i-1", BORN_MS)
        assert not cluster_state.replicated_state.has_departed("i-1", BORN_MS + 1)

    with_cluster(body)


def test_departed_server_stays_out_after_a_restart_from_stale_caches(
    with_cluster,
):
    """Guards against a departed server that is used again after a restart: the endpoint
    caches on disk still list it, and a delayed announcement of it arrives later."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        await cluster.call(1, b"PUT", "/-/instances/i-1", ANNOUNCEMENT)
        other = {**ANNOUNCEMENT, "address": "10.0.0.9:80"}
        await cluster.call(2, b"PUT", "/-/instances/i-2", other)
        # Each replica writes its endpoint cache while the server is still active.
        await curio.sleep(1.3)
        assert (await cluster.call(2, b"DELETE", "/-/instances/i-1")).status == 200
        for number in (1, 2, 3):
            await cluster.stop(number)
        for number in (1, 2, 3):
            await cluster.start(number)
        view, _ = await entry_view(cluster)
        seen = set()

        def has_settled():
            seen.update(e.announcement.endpoint_id for e in routable_endpoints(view))
            return len(view.control_hosts) == 3 and "i-2" in seen

        await wait_until(has_settled)
        status = {**ANNOUNCEMENT["status"], "sequence": 99}
        late = {**ANNOUNCEMENT, "status": status}
        await cluster.call(3, b"PUT", "/-/instances/i-1", late)
        await curio.sleep(0.3)
        has_settled()
        assert seen == {"i-2"}

    with_cluster(body)


def routable_endpoints(view):
    """Return the endpoints that an entry routes to; none if unconfigured."""
    if view.configuration is None:
        return []
    return [e for endpoints in view.by_service.values() for e in endpoints]


@pytest.mark.parametrize("is_lost_at_leader", [False, True])
def test_evacuation_with_a_lost_response_is_not_proposed_twice(
    with_cluster, is_lost_at_leader
):
    """Guards against an evacuation that is applied again after it was withdrawn,
    because a replica retried the proposal when the first response was lost."""

    async def body(cluster):
        follower_number, leader_number = follower(cluster), cluster.leader()
        cluster_state = cluster.running[follower_number].node.cluster_state
        leader = cluster.running[leader_number].node
        call, propose = cluster_state.commands.call, leader.replica.propose
        n_lost = []

        async def withdraw():
            n_lost.append(1)
            withdrawal = await leader.cluster_state.submit(Evacuate("a", False), 2_000)
            assert withdrawal.is_ok()

        async def losing_call(*arguments):
            result = await call(*arguments)
            if not n_lost:
                await withdraw()
                return Error(ErrorKind.UNREACHABLE)
            return result

        async def losing_propose(*arguments):
            result = await propose(*arguments)
            leader.replica.propose = propose
            await withdraw()
            assert result.is_ok()
            return Error(ErrorKind.NO_QUORUM)

        if is_lost_at_leader:
            leader.replica.propose = losing_propose
        else:
            cluster_state.commands.call = losing_call
        evacuation = await cluster_state.submit(Evacuate("a", True), 1_500)
        assert n_lost
        assert evacuation.is_error()
        await leader.cluster_state.read(2_000)
        assert leader.cluster_state.replicated_state.evacuated == frozenset()

    with_cluster(body)


def test_unusable_ids_are_refused_and_not_stored(with_cluster):
    """Guards against ids of any length in the replicated log, and against a replica id
    to which the leader can't send."""

    async def body(cluster):
        leader = cluster.leader()
        for endpoint_id in ("x" * 1000, "", "\xe9"):
            path = f"/-/instances/{endpoint_id}"
            assert (await cluster.call(leader, b"DELETE", path)).status == 400
        node = cluster.running[leader].node
        for replica_id in (b"10.0.0.1:70000/a", b"a.example:80/a", b"x" * 1000):
            with pytest.raises(ValueError):
                await node.membership.handle(replica_id)
        assert node.cluster_state.replicated_state.departures == {}

    with_cluster(body)


def test_replica_that_stops_stays_until_a_learner_has_its_place(with_cluster):
    """Guards against a stop that takes a vote from the group though a learner waits."""

    async def body(cluster):
        await cluster.start(4)
        leader = cluster.leader()
        node = cluster.running[leader].node
        until = add_ms(system_clock(), 10_000)
        await cluster.wait_until_joined(4)
        await node.membership.leave(until)
        assert node.replica.has_left()
        await cluster.stop(leader)
        await cluster.wait_until_formed()
        put = await cluster.call(4, b"PUT", "/-/config", CONFIGURATION)
        assert put.status == 200

    with_cluster(body)


def test_replica_without_a_successor_stops_at_once(with_cluster):
    """Guards against a restart that takes the whole grace period."""

    async def body(cluster):
        node = cluster.running[follower(cluster)].node
        until = add_ms(system_clock(), 10_000)
        async with curio.timeout_after(3):
            await node.membership.leave(until)
        assert node.membership.is_member()

    with_cluster(body)


def test_group_without_a_majority_is_visible(with_cluster):
    """Guards against a group that waits for a majority without a word to operators."""

    async def body(cluster):
        node = cluster.running[follower(cluster)].node
        assert node.replica.status()["has_leader"]
        for number, running in list(cluster.running.items()):
            if running.node is not node:
                await cluster.stop(number)
        await curio.sleep((NO_LEADER_LOG_MS + 300.0) / 1000)
        status = node.replica.status()
        assert not status["has_leader"]
        assert len(status["voters"]) == 3

    with_cluster(body)


def test_learner_that_stops_is_no_candidate(with_cluster):
    """Guards against a voter that ends as it is added: a learner told nobody."""

    async def body(cluster):
        await cluster.start(4)
        learner = cluster.running[4].node
        await cluster.wait_until_joined(4)
        await learner.membership.leave(add_ms(system_clock(), 5_000))
        node = cluster.running[follower(cluster)].node
        until = add_ms(system_clock(), 5_000)
        async with curio.timeout_after(2):
            await node.membership.leave(until)
        assert node.membership.is_member()
        assert learner.replica_id not in node.replica.voters()

    with_cluster(body)


def test_removed_replica_learns_of_it_from_a_later_leader(with_cluster):
    """Guards against a stop that takes its whole time, since the leader that removed
    the replica is gone and no other one sends it anything."""

    async def body(cluster):
        await cluster.start(4)
        await cluster.wait_until_joined(4)
        number, leader = follower(cluster), cluster.leader()
        node = cluster.running[number].node
        leaving = node.replica_id
        async with curio.timeout_after(5):
            while leaving in cluster.running[leader].node.replica.voters():
                await cluster.running[leader].node.replica.leave(leaving)
                await curio.sleep(0.05)
        await curio.sleep(0.3)
        await cluster.stop(leader)
        async with curio.timeout_after(5):
            await node.membership.leave(add_ms(system_clock(), 20_000))

    with_cluster(body)
