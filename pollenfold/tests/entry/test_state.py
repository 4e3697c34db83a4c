"""How an entry applies lease responses that are late, repeated or malformed."""

import json

from pollenfold.core.clock import Instant
from pollenfold.core.directory import LeaveNotice, LiveEntry
from pollenfold.entry.state import Directory, EntryState
from pollenfold.wire.lease import AgedNotice, LeaseResponse

OWN = LiveEntry("e1", 1, "127.0.0.1", 1, 2, 3, "a")
OTHER = LiveEntry("e2", 1, "127.0.0.1", 4, 5, 6, "b")


def zone(revision, name, state="in", **spec):
    fields = {
        "schema_version": 1,
        "kind": "zone",
        "name": name,
        "version": revision,
        "spec": {"state": state, **spec},
    }
    return revision, json.dumps(fields).encode()


def response(revision=0, records=(), **changes):
    fields = {
        "lease_ms": 2000.0,
        "epoch": 3,
        "revision": revision,
        "records": tuple(records),
        "cursor": revision,
    }
    return LeaseResponse(**{**fields, **changes})


def receive(state, lease_response, now, request=None):
    request = request or state.request(0.0, Instant(now))
    return state.receive(request, lease_response, Instant(now), Instant(now))


def test_late_response_does_not_revert_the_configuration():
    """Guards against an evacuated zone that returns because a late response is
    applied."""
    state = EntryState(OWN)
    old = response(1, [zone(1, "a", "in")])
    receive(state, response(2, [zone(2, "a", "out")]), 0)
    assert not receive(state, old, 1)
    receive(state, response(3, [zone(3, "b")]), 2)
    assert not state.view.is_zone_in_service("a")
    assert state.request(0.0, Instant(3)).acknowledged == 3


def test_part_of_a_configuration_is_not_in_force():
    """Guards against an entry that serves under half of a configuration."""
    state = EntryState(OWN)
    receive(state, response(2, [zone(1, "a", "out")], cursor=1), 0)
    assert not state.lease.is_valid(Instant(1))
    assert state.view.revision == 0
    assert state.request(0.0, Instant(1)).cursor == 1
    receive(state, response(2, [zone(2, "b", "out")]), 10)
    assert state.lease.is_valid(Instant(11))
    assert [state.view.is_zone_in_service(name) for name in "ab"] == [False, False]


def test_claim_to_hold_a_lease_must_still_be_true():
    """Guards against more serving entries than max_entries after an election."""
    state = EntryState(OWN)
    receive(state, response(), 0)
    claim = state.request(0.0, Instant(1900))
    assert claim.holds_lease
    state.receive(claim, response(epoch=4), Instant(1900), Instant(2100))
    assert not state.lease.is_valid(Instant(2100))
    receive(state, response(epoch=4), 2200)
    assert state.lease.is_valid(Instant(2200))


def test_unreadable_record_keeps_the_former_one_and_is_not_acknowledged():
    """Guards against a record reported as in force that this entry can't parse."""
    state = EntryState(OWN)
    receive(state, response(1, [zone(1, "a", "out")]), 0)
    receive(state, response(3, [zone(2, "a", "x"), zone(3, "b", "out")]), 10)
    assert [state.view.is_zone_in_service(name) for name in "ab"] == [False, False]
    assert state.request(0.0, Instant(11)).acknowledged == 1
    receive(state, response(4, [zone(4, "a", "in")]), 20)
    assert state.view.is_zone_in_service("a")
    assert state.request(0.0, Instant(21)).acknowledged == 4


def test_response_of_a_former_leader_is_ignored():
    """Guards against a lease or directory from a leader that was replaced."""
    state = EntryState(OWN)
    receive(state, response(epoch=5, directory_revision=7, directory=(OWN,)), 0)
    late = response(epoch=4, directory_revision=9, directory=(OTHER,))
    assert not receive(state, late, 1900)
    assert state.directory.entries == (OWN,)
    assert not state.lease.is_valid(Instant(2000))


def test_directory_is_forgotten_when_the_lease_ended():
    """Guards against a warm-up owner chosen from an outdated directory: while the entry
    had no lease, the other entries may have moved to a newer one."""
    state = EntryState(OWN)
    receive(state, response(directory_revision=7, directory=(OWN, OTHER)), 100)
    assert state.directory == Directory(7, (OWN, OTHER), Instant(100))
    receive(state, response(epoch=4, directory_revision=0), 1000)
    assert state.directory.revision == 7
    receive(state, response(epoch=4, directory_revision=0), 5000)
    assert state.directory == Directory()
    receive(state, response(epoch=4, directory_revision=9, directory=(OWN,)), 6000)
    assert state.directory.first_seen == 6000


def test_leave_notices_are_sent_again_to_a_new_leader():
    """Guards against leave notices that are lost when the leader changes."""
    state = EntryState(OWN)
    notice = LeaveNotice("10.0.0.1:80", "s", 1)
    assert state.add_notice(notice, Instant(0))
    assert state.request(0.0, Instant(1)).notices == (AgedNotice(notice, 1.0),)
    receive(state, response(), 1)
    assert not state.has_unreported(Instant(2))
    without = state.request(0.0, Instant(2))
    receive(state, response(epoch=4), 3, without)
    assert state.has_unreported(Instant(4))
    receive(state, response(epoch=4), 5)
    assert not state.has_unreported(Instant(6))
