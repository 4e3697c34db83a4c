"""Accepted configuration changes stay in force while control replicas fail."""

import secrets

import curio
import pytest

from benchmarks.cluster import Topology

from .system import SERVICE

TOPOLOGY = Topology(
    n_ledger=1, n_entries=2, services=(SERVICE,), n_backends_per_service=1
)


def endpoint_record(name, version, state="in"):
    """Return an endpoint record for which no server exists."""
    return {
        "schema_version": 1,
        "kind": "endpoint",
        "name": name,
        "version": version,
        "spec": {"service": SERVICE, "state": state},
    }


async def post_until_decided(system, replica, record):
    """Send a record until a leader responds; return status and fields of the response.

    If the outcome is unknown, the record is resent with the same change id, as an
    operator does. Without that id, the resend of a committed change would be a new
    change that conflicts with the first.
    """
    change_id = secrets.token_hex(16)
    for _ in range(50):
        status, fields = await system.send_to_operator_port(
            replica, "POST", "/v1/records", record, change_id=change_id
        )
        if status in (200, 409):
            return status, fields
        assert status in (0, 421, 503), fields
        await curio.sleep(0.1)
        replica = await system.leader()
    raise AssertionError(f"expected a response for {record['name']}, got {status}")


async def read_records(system, replica):
    """Return the revision and the sorted records of a replica."""
    status, fields = await system.send_to_operator_port(replica, "GET", "/v1/records")
    assert status == 200, fields
    listed = sorted(
        fields["records"], key=lambda record: (record["kind"], record["name"])
    )
    return fields["revision"], listed


async def add_endpoints(system, prefix, n_changes):
    """Add endpoint records; return the names of the accepted ones."""
    leader = await system.leader()
    names = [f"127.0.9.{n}:{1000 + prefix}" for n in range(1, n_changes + 1)]
    for name in names:
        status, fields = await post_until_decided(
            system, leader, endpoint_record(name, 1)
        )
        assert status == 200, fields
    return names


class RevisionMonitor:
    """Polls the revisions that entries report and records every decrease."""

    def __init__(self, system):
        self.decreases = []
        self.last_revisions = {}
        self._system = system

    async def __aenter__(self):
        self._task = await curio.spawn(self._watch, daemon=True)
        return self

    async def __aexit__(self, *details):
        await self._task.cancel()

    async def _watch(self):
        while True:
            for entry in self._system.cluster.entries:
                status = await self._system.entry_status(entry)
                revision = status.get("revision", 0)
                if status and revision < self.last_revisions.get(entry.entry_id, 0):
                    self.decreases.append((entry.entry_id, revision))
                self.last_revisions[entry.entry_id] = revision
            await curio.sleep(0.05)


async def wait_for_revision(system, revision):
    """Wait until every entry reports the revision, for at most the guaranteed 4 s."""
    async with curio.timeout_after(4):
        for entry in system.cluster.entries:
            while (await system.entry_status(entry))["revision"] < revision:
                await curio.sleep(0.05)


@pytest.fixture(autouse=True)
def restore_control_replicas(system):
    """Resume or restart every control replica after a test."""
    yield
    for replica in system.cluster.control:
        process = system.process(replica)
        process.resume()
        if not process.is_running:
            system.group.restart(replica.replica_id)


def test_two_operators_with_one_version(system, run):
    """Guards against two accepted changes with the same version number."""
    states = ("in", "drained")

    async def race(version):
        async with curio.TaskGroup() as group:
            for replica, state in zip(system.cluster.control, states):
                record = endpoint_record("127.0.9.1:999", version, state)
                await group.spawn(post_until_decided, system, replica, record)
        return group.results

    async def main():
        results = []
        for version in range(1, 21):
            responses = await race(version)
            _, listed = await read_records(system, await system.leader())
            stored = [record for record in listed if record["name"] == "127.0.9.1:999"]
            results.append((version, responses, stored))
        return results

    for version, responses, stored in run(main):
        assert sorted(status for status, _ in responses) == [200, 409], responses
        accepted = states[[status for status, _ in responses].index(200)]
        assert [record["version"] for record in stored] == [version]
        assert stored[0]["spec"]["state"] == accepted


def test_restart_of_all_replicas_after_500_changes(system, run):
    """Guards against changes that were accepted before they were on disk."""

    async def main():
        async with RevisionMonitor(system) as revisions:
            await add_endpoints(system, 1, 250)
            await add_endpoints(system, 2, 250)
            before = await read_records(system, await system.leader())
            await wait_for_revision(system, before[0])
            for replica in system.cluster.control:
                system.process(replica).kill()
            for replica in system.cluster.control:
                system.group.restart(replica.replica_id)
            after = await read_records(system, await system.leader())
            names = await add_endpoints(system, 3, 1)
            revision, _ = await read_records(system, await system.leader())
            await wait_for_revision(system, revision)
        return before, after, names, revisions.decreases

    before, after, names, decreases = run(main)
    assert len(before[1]) >= 500
    assert after == before
    assert len(names) == 1
    assert decreases == []


def test_resumed_leader_serves_no_older_configuration(system, run):
    """Guards against a former leader that responds with state before its suspension."""

    async def main():
        async with RevisionMonitor(system) as revisions:
            former = await system.leader()
            system.process(former).suspend()
            others = [
                replica for replica in system.cluster.control if replica is not former
            ]
            await curio.sleep(3)
            leader = await system.leader(others)
            status, fields = await post_until_decided(
                system, leader, endpoint_record("127.0.9.1:4000", 1)
            )
            assert status == 200, fields
            pending = await curio.spawn(
                system.send_to_operator_port, former, "GET", "/v1/records", None, 5
            )
            await curio.sleep(0.2)
            system.process(former).resume()
            responses = [await pending.join()]
            for _ in range(20):
                responses.append(
                    await system.send_to_operator_port(former, "GET", "/v1/records")
                )
                await curio.sleep(0.02)
            await wait_for_revision(system, fields["revision"])
        return fields["revision"], responses, revisions.decreases

    revision, responses, decreases = run(main)
    for status, fields in responses:
        assert status in (421, 503) or fields["revision"] >= revision, status
    assert decreases == []


def test_second_replica_killed_right_after_a_repair(system, run):
    """Guards against loss of changes that only two lost replicas had stored."""

    async def main():
        async with RevisionMonitor(system) as revisions:
            leader = await system.leader()
            wiped, other = [
                replica for replica in system.cluster.control if replica is not leader
            ]
            system.process(other).kill()
            names = await add_endpoints(system, 5, 20)
            system.kill_and_wipe(wiped)
            system.group.restart(other.replica_id)
            await system.rejoin(wiped)
            system.process(leader).kill()
            _, listed = await read_records(system, await system.leader([wiped, other]))
        return names, {record["name"] for record in listed}, revisions.decreases

    names, listed, decreases = run(main)
    assert set(names) <= listed
    assert decreases == []


def test_blank_replica_and_an_older_one_accept_nothing(system, run):
    """Guards against a quorum of a wiped replica and one that lacks the changes.

    The only replica that still has the changes is down, so the others must wait.
    """

    async def main():
        async with RevisionMonitor(system) as revisions:
            leader = await system.leader()
            wiped, older = [
                other for other in system.cluster.control if other is not leader
            ]
            system.process(older).kill()
            names = await add_endpoints(system, 6, 20)
            system.process(leader).kill()
            system.kill_and_wipe(wiped)
            for replica in (older, wiped):
                system.group.restart(replica.replica_id)
            early = []
            for _ in range(30):
                for replica in (older, wiped):
                    status, _ = await system.send_to_operator_port(
                        replica, "GET", "/v1/records", timeout_s=0.5
                    )
                    early.append(status)
                await curio.sleep(0.1)
            system.group.restart(leader.replica_id)
            _, listed = await read_records(system, await system.leader())
        return early, names, {record["name"] for record in listed}, revisions.decreases

    early, names, listed, decreases = run(main)
    assert 200 not in early
    assert set(names) <= listed
    assert decreases == []
