"""Accepted configuration stays in force while control replicas fail."""

import secrets

import curio
import pytest

from benchmarks.cluster import Topology

from .system import SERVICE

TOPOLOGY = Topology(
    n_ledger=1, n_entries=2, services=(SERVICE,), n_backends_per_service=1
)


def endpoint(name, version, state="in"):
    """Return the record of an endpoint that does not exist."""
    return {
        "schema_version": 1,
        "kind": "endpoint",
        "name": name,
        "version": version,
        "spec": {"service": SERVICE, "state": state},
    }


async def post(system, replica, record):
    """Send a record until a leader answers; return the answer's status and fields.

    A reply that leaves the outcome open is followed by a resend with the same id, as
    by an operator. Without the id the resend of a change that was committed is a
    change of its own, and conflicts with the first.
    """
    change_id = secrets.token_hex(16)
    for _ in range(50):
        status, fields = await system.operator(
            replica, "POST", "/v1/records", record, change_id=change_id
        )
        if status in (200, 409):
            return status, fields
        assert status in (0, 421, 503), fields
        await curio.sleep(0.1)
        replica = await system.leader()
    raise AssertionError(f"expected an answer for {record['name']}, got {status}")


async def records(system, replica):
    """Return revision and records of a replica, in one order."""
    status, fields = await system.operator(replica, "GET", "/v1/records")
    assert status == 200, fields
    listed = sorted(fields["records"], key=lambda one: (one["kind"], one["name"]))
    return fields["revision"], listed


async def add(system, prefix, n_changes):
    """Make changes; return the names of the accepted records."""
    leader = await system.leader()
    names = [f"127.0.9.{n}:{1000 + prefix}" for n in range(1, n_changes + 1)]
    for name in names:
        status, fields = await post(system, leader, endpoint(name, 1))
        assert status == 200, fields
    return names


class Revisions:
    """Watches the revisions that entries report and keeps every fall."""

    def __init__(self, system):
        self.falls = []
        self.last = {}
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
                if status and revision < self.last.get(entry.entry_id, 0):
                    self.falls.append((entry.entry_id, revision))
                self.last[entry.entry_id] = revision
            await curio.sleep(0.05)


async def wait_for_revision(system, revision):
    """Return when every entry reports the revision, within the stated 4 s."""
    async with curio.timeout_after(4):
        for entry in system.cluster.entries:
            while (await system.entry_status(entry))["revision"] < revision:
                await curio.sleep(0.05)


@pytest.fixture(autouse=True)
def whole(system):
    """Let every control replica run again after a test."""
    yield
    for replica in system.cluster.control:
        process = system.process(replica)
        process.resume()
        if not process.is_running:
            system.group.restart(replica.replica_id)


def test_two_operators_with_one_version(system, run):
    """Guards against two accepted changes with one version number."""
    states = ("in", "drained")

    async def race(version):
        async with curio.TaskGroup() as group:
            for replica, state in zip(system.cluster.control, states):
                record = endpoint("127.0.9.1:999", version, state)
                await group.spawn(post, system, replica, record)
        return group.results

    async def main():
        results = []
        for version in range(1, 21):
            answers = await race(version)
            _, listed = await records(system, await system.leader())
            stored = [one for one in listed if one["name"] == "127.0.9.1:999"]
            results.append((version, answers, stored))
        return results

    for version, answers, stored in run(main):
        assert sorted(status for status, _ in answers) == [200, 409], answers
        accepted = states[[status for status, _ in answers].index(200)]
        assert [one["version"] for one in stored] == [version]
        assert stored[0]["spec"]["state"] == accepted


def test_restart_of_all_replicas_after_500_changes(system, run):
    """Guards against changes that were accepted before they were on disk."""

    async def main():
        async with Revisions(system) as revisions:
            await add(system, 1, 250)
            await add(system, 2, 250)
            before = await records(system, await system.leader())
            await wait_for_revision(system, before[0])
            for replica in system.cluster.control:
                system.process(replica).kill()
            for replica in system.cluster.control:
                system.group.restart(replica.replica_id)
            after = await records(system, await system.leader())
            names = await add(system, 3, 1)
            revision, _ = await records(system, await system.leader())
            await wait_for_revision(system, revision)
        return before, after, names, revisions.falls

    before, after, names, falls = run(main)
    assert len(before[1]) >= 500
    assert after == before
    assert len(names) == 1
    assert falls == []


def test_resumed_leader_serves_no_older_configuration(system, run):
    """Guards against a former leader that answers from before its suspension."""

    async def main():
        async with Revisions(system) as revisions:
            former = await system.leader()
            system.process(former).suspend()
            others = [one for one in system.cluster.control if one is not former]
            await curio.sleep(3)
            leader = await system.leader(others)
            status, fields = await post(system, leader, endpoint("127.0.9.1:4000", 1))
            assert status == 200, fields
            asked = await curio.spawn(
                system.operator, former, "GET", "/v1/records", None, 5
            )
            await curio.sleep(0.2)
            system.process(former).resume()
            answers = [await asked.join()]
            for _ in range(20):
                answers.append(await system.operator(former, "GET", "/v1/records"))
                await curio.sleep(0.02)
            await wait_for_revision(system, fields["revision"])
        return fields["revision"], answers, revisions.falls

    revision, answers, falls = run(main)
    for status, fields in answers:
        assert status in (421, 503) or fields["revision"] >= revision, status
    assert falls == []


def test_second_replica_killed_right_after_a_repair(system, run):
    """Guards against changes that only the lost disk and the killed replica had."""

    async def main():
        async with Revisions(system) as revisions:
            leader = await system.leader()
            wiped, other = [one for one in system.cluster.control if one is not leader]
            system.process(other).kill()
            names = await add(system, 5, 20)
            system.wipe(wiped)
            system.group.restart(other.replica_id)
            await system.rejoin(wiped)
            system.process(leader).kill()
            _, listed = await records(system, await system.leader([wiped, other]))
        return names, {one["name"] for one in listed}, revisions.falls

    names, listed, falls = run(main)
    assert set(names) <= listed
    assert falls == []


def test_blank_replica_and_an_older_one_accept_nothing(system, run):
    """Guards against a quorum of a lost disk and a replica that lacks the changes.

    The only replica left with the changes is down: the rest must wait for it.
    """

    async def main():
        async with Revisions(system) as revisions:
            leader = await system.leader()
            wiped, older = [one for one in system.cluster.control if one is not leader]
            system.process(older).kill()
            names = await add(system, 6, 20)
            system.process(leader).kill()
            system.wipe(wiped)
            for replica in (older, wiped):
                system.group.restart(replica.replica_id)
            early = []
            for _ in range(30):
                for replica in (older, wiped):
                    status, _ = await system.operator(
                        replica, "GET", "/v1/records", timeout_s=0.5
                    )
                    early.append(status)
                await curio.sleep(0.1)
            system.group.restart(leader.replica_id)
            _, listed = await records(system, await system.leader())
        return early, names, {one["name"] for one in listed}, revisions.falls

    early, names, listed, falls = run(main)
    assert 200 not in early
    assert set(names) <= listed
    assert falls == []
