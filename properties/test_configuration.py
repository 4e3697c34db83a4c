"""Properties of configuration changes, leases and ``in_force`` in any interleaving."""

import json
from pathlib import Path
from unittest.mock import patch

import curio
from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.control import leases
from pollenfold.control.leases import LeaseService
from pollenfold.control.state import ControlState
from pollenfold.core.clock import ManualClock
from pollenfold.core.configuration import (
    Change,
    ConfigurationState,
    apply_change,
    decode_state,
    encode_state,
)
from pollenfold.core.directory import LiveEntry
from pollenfold.core.errors import ErrorKind
from pollenfold.entry.state import EntryState
from pollenfold.records.parsing import parse_record
from pollenfold.testing.replica import FakeReplica
from pollenfold.wire.lease import decode_request, decode_response, encode_request

CHANGES = st.builds(
    lambda change_id, name, version, note: Change(
        f"id-{change_id}",
        json.dumps(
            {"kind": "zone", "name": name, "version": version, "note": note}
        ).encode(),
    ),
    st.integers(0, 12),
    st.sampled_from("ab"),
    st.integers(0, 4),
    st.integers(0, 1),
)
MALFORMED_CHANGES = st.builds(Change, st.just("garbage"), st.binary(max_size=20))


@given(st.lists(st.tuples(st.one_of(CHANGES, MALFORMED_CHANGES), st.booleans())))
def test_racing_operators_and_restarts_agree(steps):
    """Guards against two accepted changes of one version, and replicas that diverge.

    The second replica is restored from its own snapshot at any point.
    """
    first, second = ConfigurationState(), ConfigurationState()
    known_results = {}
    accepted_versions = {}
    for change, is_restarted in steps:
        if is_restarted:
            second = decode_state(encode_state(second))
        revision = first.revision
        result = apply_change(first, change)
        assert apply_change(second, change) == result
        known_result = known_results.setdefault(
            change.change_id, (change.record, result)
        )
        if known_result[0] == change.record:
            assert result == known_result[1]
        else:
            assert result.error is ErrorKind.BAD_REQUEST
        if first.revision != revision:
            fields = json.loads(change.record)
            assert fields["version"] == accepted_versions.get(fields["name"], 0) + 1
            accepted_versions[fields["name"]] = fields["version"]
            assert first.revision == revision + 1
    assert sum(accepted_versions.values()) == first.revision
    assert encode_state(first) == encode_state(second)


@given(st.one_of(st.binary(max_size=200), st.text().map(str.encode)))
def test_arbitrary_bytes_are_a_record_or_a_bad_record(data):
    """Guards against a parser that raises an exception on malformed bytes from an
    operator."""
    result = parse_record(data)
    assert result.is_ok() or result.error.kind is ErrorKind.BAD_RECORD


@given(st.binary(max_size=400))
def test_arbitrary_bytes_are_a_message_or_a_bad_frame(data):
    """Guards against a decoder that raises an exception on malformed bytes from a
    peer."""
    for decode in (decode_request, decode_response):
        result = decode(data)
        assert result.is_ok() or result.error.kind is ErrorKind.BAD_FRAME


class Fleet:
    """A control replica that may lose and regain leadership, and three entries.

    Requests and responses stay queued until a step delivers them, in any order, more
    than once, or never.
    """

    def __init__(self):
        self.clock = ManualClock(1000)
        self.state = ControlState(self.clock)
        self.replica = FakeReplica(
            "c1", {}, Path(), self.state.apply, bytes, bytes, self.clock, 0
        )
        self.state.replica = self.replica
        self.service = LeaseService(self.state, {})
        self.entries = [
            EntryState(LiveEntry(f"e{n}", 1, "127.0.0.1", 1, 2, 3, "a"))
            for n in range(3)
        ]
        self.requests = []
        self.responses = []
        self.n_changes = 0
        self.max_entries = 2
        self.in_force = 0
        self.revisions = [0, 0, 0]

    async def change(self, number):
        """Submit a change; some raise the maximum number of entries."""
        self.n_changes += 1
        name = f"n{self.n_changes}"
        fields = {"schema_version": 1, "kind": "zone", "name": name, "version": 1}
        fields["spec"] = {}
        if self.n_changes == 1 or number == 2:
            self.max_entries += self.n_changes > 1
            fields = {**fields, "kind": "fleet", "name": "default"}
            fields["version"] = self.max_entries - 1
            fields["spec"] = {"max_entries": self.max_entries}
        change = Change(name, json.dumps(fields).encode())
        result = await self.state.submit(change, 100)
        if result.is_ok():
            assert result.ok.error is None

    async def send(self, number):
        request = self.entries[number].request(0.0, self.clock())
        self.requests.append((number, request, self.clock()))

    async def respond(self, number):
        if self.requests:
            entry, request, sent_at = self.requests[-1 - number % len(self.requests)]
            payload = await self.service.handle(encode_request(request))
            response = decode_response(payload).ok
            self.responses.append((entry, request, response, sent_at))

    async def deliver(self, number):
        if self.responses:
            index = -1 - number % len(self.responses)
            entry, request, response, sent_at = self.responses[index]
            self.entries[entry].receive(request, response, sent_at, self.clock())

    async def exchange(self, number):
        await self.send(number)
        await self.respond(0)
        await self.deliver(0)

    async def advance(self, number):
        self.clock.advance((50, 450, 1900)[number])

    async def elect(self, number):
        """Elect another leader, which holds every accepted change."""
        self.replica.follow("c2")
        self.replica.lead()
        await self.state._follow_leadership()

    def check(self):
        now = self.clock()
        leadership = self.state.leadership()
        if leadership is not None:
            newest = self.state.configuration.revision
            in_force = leadership.directory.in_force_revision(newest, now)
            self.in_force = max(self.in_force, in_force)
        entries_with_lease = [
            entry for entry in self.entries if entry.lease.is_valid(now)
        ]
        for entry in entries_with_lease:
            assert entry.view.revision >= self.in_force
        shares = [1 / entry.view.fleet.max_entries for entry in entries_with_lease]
        assert sum(shares) <= 1 + 1e-9
        revisions = [entry.view.revision for entry in self.entries]
        assert all(new >= old for new, old in zip(revisions, self.revisions))
        self.revisions = revisions


STEPS = st.tuples(
    st.sampled_from(
        "change send respond deliver exchange exchange exchange advance elect".split()
    ),
    st.integers(0, 2),
)


LATE_RESPONSE = [
    ("exchange", 0),
    ("send", 0),
    ("respond", 0),
    ("advance", 2),
    ("deliver", 0),
    ("change", 1),
    ("advance", 1),
]


@given(st.lists(STEPS, min_size=5, max_size=60))
@example(LATE_RESPONSE)
def test_in_force_holds_for_every_entry_with_a_lease(steps):
    """Guards against ``in_force`` while an entry with a lease has an older revision.

    Also against a revision that decreases, and entries whose shares of a budget exceed
    the total. A response holds two records, so configurations span several responses.
    """

    async def main():
        fleet = Fleet()
        await fleet.elect(0)
        await fleet.change(0)
        await fleet.advance(2)
        await fleet.advance(1)
        for name, number in steps:
            await getattr(fleet, name)(number)
            fleet.check()

    with patch.object(leases, "MAX_RECORDS_BYTES", 200):
        curio.run(main)
