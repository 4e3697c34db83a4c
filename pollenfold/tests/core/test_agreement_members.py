"""The members of the replicated log, step by step."""

import pytest

from pollenfold.core.agreement_members import (
    address_of,
    decode_members,
    encode_members,
    next_members,
    unwrap_snapshot,
    wrap_snapshot,
)
from pollenfold.tests.core.dynamic_cores import DynamicCores


@pytest.fixture
def cores():
    """Return five cores that have formed one group."""
    cores = DynamicCores(5, seed=3)
    cores.run(4000)
    return cores


def machines(cores):
    return {name.split("/")[0] for name in cores.voters()}


def test_founder_takes_the_others_in(cores):
    """Guards against two groups, or a group that stays small, at the first start."""
    assert machines(cores) == set("abcde")
    assert {core.state.voters for core in cores.cores.values()} == {cores.voters()}


def test_sixth_replica_waits_for_a_place(cores):
    """Guards against a group that grows beyond its size."""
    cores.add_disk("f")
    cores.run(3000)
    assert machines(cores) == set("abcde")


def test_replica_at_another_address_takes_the_place_of_a_silent_one(cores):
    """Guards against a group that keeps counting a machine that is gone."""
    gone = next(k for k in cores.cores if k != cores.leader().replica_id)
    del cores.cores[gone]
    cores.add_disk("f")
    cores.run(4000)
    assert gone not in cores.voters()
    assert "f" in machines(cores)
    assert len(cores.voters()) == 5


def test_silent_replica_without_a_successor_keeps_its_place(cores):
    """Guards against a group that shrinks while machines are merely down."""
    gone = next(k for k in cores.cores if k != cores.leader().replica_id)
    cores.cores[gone].state = None
    cores.run(4000)
    assert gone in cores.voters()


def test_lost_disk_is_replaced_without_a_wait(cores):
    """Guards against a second loss while the first disk still counts as a voter."""
    leader = cores.leader().replica_id
    lost = next(k for k in cores.cores if k != leader)
    new = cores.add_disk(lost.split("/")[0])
    cores.run(1500)
    assert new in cores.voters()
    assert lost not in cores.voters()


def test_leader_on_a_new_disk_is_replaced(cores):
    """Guards against a group that can't replace the one that led it."""
    new = cores.add_disk(cores.leader().replica_id.split("/")[0])
    cores.run(4000)
    assert new in cores.voters()
    assert len(cores.voters()) == 5


def test_replica_on_a_new_disk_gives_no_majority_to_old_state(cores):
    """Guards against a blank replica that helps a minority forget a change.

    Two replicas are cut off and miss a change; a third loses its disk and the rest
    is down: the three that remain must not lead.
    """
    names = [k for k in cores.cores if k != cores.leader().replica_id]
    cores.cut_off = set(names[:2])
    cores.propose(b"missed by two")
    cores.run(600)
    others = [k for k in cores.cores if k not in cores.cut_off]
    lost, *down = others
    for name in down:
        cores.cores[name].state = None
    cores.add_disk(lost.split("/")[0])
    cores.cut_off = set()
    n_committed = len(cores.committed)
    cores.run(5000)
    assert cores.leader() is None
    for name in down:
        cores.start(name)
    cores.run(5000)
    assert len(cores.committed) > n_committed
    assert len(cores.voters()) == 5


def test_two_disks_lost_and_a_restart_of_all_keep_a_change(cores):
    """Guards against the loss of as many disks as are to be borne."""
    cores.propose(b"acknowledged")
    cores.run(50)
    assert b"acknowledged" in [entry.command for entry, _ in cores.committed]
    for name in list(cores.cores)[:2]:
        cores.add_disk(name.split("/")[0])
    for name in cores.cores:
        cores.start(name)
    cores.run(6000)
    applied = {core.n_applied for core in cores.cores.values()}
    assert applied == {len(cores.committed)}
    assert len(cores.voters()) == 5


def test_voters_change_one_at_a_time(cores):
    """Guards against two majorities of two member sets without a common replica."""
    names = [k for k in cores.cores if k != cores.leader().replica_id]
    del cores.cores[names[0]]
    cores.add_disk("f")
    cores.add_disk(names[1].split("/")[0])
    cores.run(6000)
    sets = [decode_members(entry.command) for entry, _ in cores.committed]
    sets = [names for names in sets if names is not None]
    for before, after in zip(sets, sets[1:], strict=False):
        assert len(before ^ after) == 1


@pytest.mark.parametrize("seed", range(4))
def test_next_change_waits_until_the_one_before_is_committed(seed):
    """Guards against two changes in flight, after which two majorities may have no
    replica in common."""
    cores = DynamicCores(5, seed=seed)
    n_in_flight = 0
    for _ in range(4000):
        cores.run(1)
        leader = cores.leader()
        if leader is None:
            continue
        entries = leader.log.between(leader.commit_index + 1, leader.log.last_index)
        if any(decode_members(entry.command) is not None for entry in entries):
            n_in_flight += 1
            assert next_members(leader, cores.n_target, cores.now) is None
    assert n_in_flight
    assert machines(cores) == set("abcde")


def test_learner_that_cannot_be_reached_stays_one():
    """Guards against a voter without the log, with which one loss more stops all."""
    cores = DynamicCores(4, seed=3)
    cores.run(4000)
    name = cores.add_disk("f")
    while name not in cores.leader().learners:
        cores.run(1)
    cores.cut_off = {name}
    cores.run(2000)
    assert machines(cores) == set("abcd")
    cores.cut_off = set()
    cores.run(2000)
    assert machines(cores) == set("abcdf")


def test_learner_never_votes_for_itself(cores):
    """Guards against a replica that starts elections before it is a member."""
    name = cores.add_disk("f")
    cores.cut_off = {name}
    cores.run(3000)
    assert cores.cores[name].state.term == 0


def test_removed_voter_learns_that_it_must_ask_again(cores):
    """Guards against a machine that returns and is left outside for ever."""
    gone = next(k for k in cores.cores if k != cores.leader().replica_id)
    stored = cores.cores.pop(gone)
    cores.add_disk("f")
    cores.run(4000)
    cores.cores[gone] = stored
    cores.start(gone)
    leader = cores.leader().replica_id
    lost = next(k for k in cores.voters() if k != leader)
    del cores.cores[lost]
    cores.run(5000)
    assert gone in cores.voters()
    assert len(cores.voters()) == 5


def test_member_codec():
    """Guards against commands of the state machine that are taken for members."""
    voters = frozenset({"10.0.0.1:7660/aa", "10.0.0.2:7660/bb"})
    assert decode_members(encode_members(voters)) == voters
    assert decode_members(b"\0") is None
    assert unwrap_snapshot(wrap_snapshot(voters, b"data\nmore")) == (
        voters,
        b"data\nmore",
    )
    assert address_of("10.0.0.1:7660/aa") == "10.0.0.1:7660"


def test_members_survive_compaction(cores):
    """Guards against a snapshot that forgets who the voters are."""
    cores.propose(b"before")
    cores.run(300)
    for name in cores.cores:
        cores.compact(name)
    cores.add_disk("f")
    gone = next(k for k in cores.cores if k != cores.leader().replica_id)
    del cores.cores[gone]
    cores.run(5000)
    cores.propose(b"after", cores.leader().replica_id)
    cores.run(300)
    assert cores.committed[-1][0].command == b"after"
