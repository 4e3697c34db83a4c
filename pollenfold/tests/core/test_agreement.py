"""Single guards of the replicated log, each with the fault that it stops."""

from dataclasses import replace

import pytest

from pollenfold.core import agreement_messages as messages
from pollenfold.core.agreement import Entry, Log, Snapshot, is_leader, step
from pollenfold.tests.core.cores import Cores

VOTE_REQUEST = messages.VoteRequest(9, False, 100, 9)


@pytest.fixture
def cores():
    """Return three cores that have a leader and one committed command."""
    return started(3)


def started(n_cores):
    cores = Cores(n_cores)
    cores.run(3000)
    cores.propose(b"first")
    cores.run(300)
    assert all(core.n_applied == 2 for core in cores.cores.values())
    return cores


def followers(cores):
    return [name for name in cores.cores if name != cores.leader().replica_id]


def receive(cores, sender, recipient, body, incarnation=None):
    """Deliver one message at once, from the sender's present incarnation if not given.

    Return the bodies of the messages that it caused.
    """
    incarnation = incarnation or cores.cores[sender].incarnation
    n_before = len(cores.flight)
    message = messages.Message(sender, recipient, incarnation, body)
    cores.step(recipient, messages.Receive(message))
    sent = [message.body for message in cores.flight[n_before:]]
    del cores.flight[n_before:]
    return sent


def run_until(cores, condition):
    """Run until the condition holds, for 10 s at most."""
    end = cores.now + 10_000
    while not condition():
        assert cores.now < end
        cores.run(1)


def is_applied(cores, command):
    return command in [entry.command for entry, _ in cores.committed]


def test_returning_isolated_core_does_not_raise_the_term(cores):
    """Guards against an election forced by a replica that was cut off."""
    leader = cores.leader()
    cores.cut_off = {followers(cores)[0]}
    cores.run(20_000)
    cores.cut_off = set()
    cores.run(2000)
    assert cores.leader().replica_id == leader.replica_id
    assert {core.state.term for core in cores.cores.values()} == {leader.term}


def test_resumed_leader_neither_leads_nor_commits(cores):
    """Guards against a leader that was suspended and goes on as if no time passed."""
    old = cores.cores[cores.leader().replica_id]
    suspended, old.state = old.state, None
    cores.run(3000)
    assert cores.leader().replica_id != old.name
    cores.flight.clear()
    old.state = suspended
    assert not is_leader(old.state, cores.now)
    cores.step(old.name, messages.Propose(b"from the old leader"))
    cores.run(2000)
    assert not is_applied(cores, b"from the old leader")
    assert cores.leader().replica_id != old.name


def test_leader_without_a_majority_steps_down(cores):
    """Guards against a cut-off leader that goes on for more than one timeout."""
    leader = cores.leader().replica_id
    cores.cut_off = {leader}
    cores.run(400)
    assert not is_leader(cores.cores[leader].state, cores.now)
    cores.run(500)
    assert cores.cores[leader].state.leader_id != leader


@pytest.mark.parametrize("is_blank, n_terms_later", [(False, 1), (True, 0)])
def test_entry_is_not_committed_by_counting(cores, is_blank, n_terms_later):
    """Guards against a commit that a later leader may not know of.

    The entry is of an earlier term, or on a replica that may not vote yet.
    """
    leader = cores.leader()
    cores.cut_off = {leader.replica_id}
    cores.propose(b"second")
    state = replace(cores.leader(), term=leader.term + n_terms_later)
    body = messages.AppendResponse(state.term, True, 3, is_blank, cores.now)
    peer = followers(cores)[0]
    message = messages.Message(peer, state.replica_id, f"{peer}0", body)
    state, _ = step(state, messages.Receive(message), cores.now, 500)
    assert state.log.last_index == 3 and state.commit_index == 2


def test_new_leader_leads_once_an_entry_of_its_term_is_committed():
    """Guards against a new leader that doesn't know what is committed."""
    cores = Cores(3)
    run_until(cores, lambda: cores.leader() is not None)
    assert not is_leader(cores.leader(), cores.now)
    cores.run(50)
    assert is_leader(cores.leader(), cores.now)


def test_late_answers_do_not_extend_the_time_as_leader(cores):
    """Guards against a leader that counts its timeout from a late arrival."""
    leader = cores.leader()
    cores.now += 500
    for peer in followers(cores):
        body = messages.AppendResponse(leader.term, True, 2, False, cores.now - 450)
        receive(cores, peer, leader.replica_id, body)
    assert not is_leader(cores.leader(), cores.now)


@pytest.mark.parametrize("is_pre_vote", [True, False])
def test_blank_core_never_votes(cores, is_pre_vote):
    """Guards against a vote without knowledge of the votes and entries lost."""
    voter, candidate = followers(cores)
    cores.lose_disk(voter)
    cores.now += 5000
    request = replace(VOTE_REQUEST, is_pre_vote=is_pre_vote)
    [response] = receive(cores, candidate, voter, request)
    assert not response.is_granted
    assert cores.cores[voter].stored is None


def test_vote_is_refused_while_a_leader_was_just_heard(cores):
    """Guards against a second leader while the first may still answer for itself."""
    voter, candidate = followers(cores)
    [response] = receive(cores, candidate, voter, VOTE_REQUEST)
    assert not response.is_granted
    assert cores.cores[voter].state.term < VOTE_REQUEST.term
    cores.start(voter)
    cores.now += 399
    [response] = receive(cores, candidate, voter, VOTE_REQUEST)
    assert not response.is_granted


def test_no_vote_up_to_the_term_in_which_it_joined_again(cores):
    """Guards against a second vote in a term in which the lost disk held one."""
    voter, candidate = followers(cores)
    cores.lose_disk(voter)
    cores.run(3000)
    assert not cores.cores[voter].is_blank
    cores.start(voter)
    cores.now += 5000
    request = replace(VOTE_REQUEST, term=cores.cores[voter].state.term)
    [response] = receive(cores, candidate, voter, request)
    assert not response.is_granted


def test_second_loss_right_after_a_repair(cores):
    """Guards against a change that only replicas with lost disks had stored."""
    leader = cores.leader().replica_id
    repaired, behind = followers(cores)
    cores.cut_off = {behind}
    cores.propose(b"second")
    cores.run(300)
    assert is_applied(cores, b"second")
    cores.lose_disk(repaired)
    cores.run(5000)
    assert cores.cores[repaired].is_blank
    cores.cut_off = set()
    run_until(cores, lambda: not cores.cores[repaired].is_blank)
    cores.lose_disk(leader)
    cores.cut_off = {behind}
    cores.run(5000)
    cores.cut_off = set()
    cores.run(5000)
    cores.propose(b"third")
    cores.run(500)
    commands = [entry.command for entry, _ in cores.committed if entry.command]
    assert commands == [b"first", b"second", b"third"]
    assert {core.n_applied for core in cores.cores.values()} == {len(cores.committed)}


def test_request_to_the_earlier_incarnation_does_not_end_the_blank_state(cores):
    """Guards against a late request that ends before entries acknowledged since."""
    leader = cores.leader()
    blank = followers(cores)[0]
    late = messages.AppendRequest(
        leader.term, 0, 0, leader.log.entries, 2, 2, f"{blank}0", cores.now
    )
    cores.propose(b"second")
    cores.run(300)
    cores.lose_disk(blank)
    core = cores.cores[blank]
    rejoin = replace(core.state.rejoin, terms=dict.fromkeys("xy", leader.term))
    core.state = replace(core.state, rejoin=rejoin)
    receive(cores, leader.replica_id, blank, late)
    assert core.n_applied == 2 and core.is_blank
    current = replace(late, to_incarnation=core.incarnation)
    receive(cores, leader.replica_id, blank, current)
    assert not core.is_blank


@pytest.mark.parametrize(
    "terms_later, n_entries_behind", [((0,), 0), ((0, 1), 0), ((0, 0), 1)]
)
def test_blank_core_stays_blank(cores, terms_later, n_entries_behind):
    """Guards against a vote beside entries and votes that the lost disk held.

    Too few replicas answered, the leader was deposed, or entries are missing.
    """
    leader = cores.leader()
    blank = followers(cores)[0]
    cores.lose_disk(blank)
    core = cores.cores[blank]
    terms = {str(i): leader.term + later for i, later in enumerate(terms_later)}
    core.state = replace(core.state, rejoin=replace(core.state.rejoin, terms=terms))
    request = messages.AppendRequest(
        leader.term,
        0,
        0,
        leader.log.entries,
        2,
        2 + n_entries_behind,
        core.incarnation,
        cores.now,
    )
    receive(cores, leader.replica_id, blank, request)
    assert core.n_applied == 2 and core.is_blank


def test_leader_forgets_what_an_earlier_incarnation_stored(cores):
    """Guards against a commit that counts entries on a lost disk."""
    leader = cores.leader().replica_id
    blank = followers(cores)[0]
    cores.lose_disk(blank)
    receive(cores, blank, leader, messages.Inquiry(1))
    progress = cores.cores[leader].state.progress[blank]
    assert progress.match_index == 0 and progress.is_blank
    late = messages.AppendResponse(cores.leader().term, True, 2, False, cores.now)
    receive(cores, blank, leader, late, incarnation=f"{blank}0")
    assert cores.cores[leader].state.progress[blank].match_index == 0


def test_late_vote_of_a_lost_disk_does_not_make_a_second_leader():
    """Guards against a vote on a lost disk beside one of its next incarnation.

    The voter gives a vote that only one candidate knows of, loses its disk, and asks
    replicas that don't know of the term yet.
    """
    cores = started(5)
    leader = cores.leader().replica_id
    candidate, voter, late_voter, other = followers(cores)
    core = cores.cores[candidate]
    term = core.state.term + 1
    cores.cut_off = {candidate}
    run_until(cores, lambda: core.state.leader_id is None)
    granted = messages.VoteResponse(0, core.incarnation, True, term, True)
    for name in (late_voter, voter):
        receive(cores, name, candidate, granted)
    assert core.state.term == term
    votes = messages.VoteResponse(term, core.incarnation, False, term, True)
    receive(cores, voter, candidate, votes)
    cores.lose_disk(voter)
    run_until(cores, lambda: not cores.cores[voter].is_blank)
    receive(cores, late_voter, candidate, votes)
    assert cores.leaders.get(term) != candidate
    assert cores.leader().replica_id == leader


def test_vote_for_an_earlier_incarnation_is_not_counted(cores):
    """Guards against a vote that was given to a longer log on a lost disk."""
    candidate, voter = followers(cores)
    cores.cut_off = {candidate}
    cores.run(2000)
    core = cores.cores[candidate]
    term = core.state.term + 1
    stale = messages.VoteResponse(0, "earlier", True, term, True)
    receive(cores, voter, candidate, stale)
    assert core.state.term < term
    granted = replace(stale, to_incarnation=core.incarnation)
    wake_at, cores.now = core.state.wake_at, core.state.wake_at
    receive(cores, voter, candidate, granted)
    assert core.state.term < term, "the candidacy has ended"
    cores.now = wake_at - 1
    receive(cores, voter, candidate, granted)
    assert core.state.term == term


def test_vote_survives_a_restart(cores):
    """Guards against two votes in one term."""
    voter, candidate = followers(cores)
    for name, is_granted in ((candidate, True), (cores.leader().replica_id, False)):
        cores.start(voter)
        cores.now += 5000
        [response] = receive(cores, name, voter, VOTE_REQUEST)
        assert response.is_granted is is_granted


def test_snapshot_discards_entries_that_conflict():
    """Guards against entries of a deposed leader after a leader's snapshot."""
    entries = tuple(Entry(index, 1, b"x") for index in (1, 2, 3))
    assert Log(entries=entries).with_snapshot(Snapshot(2, 1)).entries == entries[2:]
    assert Log(entries=entries).with_snapshot(Snapshot(2, 2)).entries == ()


def test_one_round_of_blank_answers_founds_no_cluster():
    """Guards against answers of replicas that were blank at different times."""
    cores = Cores(3)
    cores.tick()
    for _ in range(12):
        cores.deliver(0)
    assert not cores.flight
    assert all(core.is_blank for core in cores.cores.values())
    cores.run(300)
    assert not any(core.is_blank for core in cores.cores.values())


def test_blank_core_joins_a_cluster_that_the_others_founded():
    """Guards against a first start that blocks because one replica came late."""
    cores = Cores(3)
    for _ in range(2):
        cores.tick()
        cores.flight = [m for m in cores.flight if m.sender == "a"]
        while cores.flight:
            cores.deliver(0)
        cores.now += 100
    assert [core.is_blank for core in cores.cores.values()] == [False, True, True]
    cores.run(3000)
    assert not any(core.is_blank for core in cores.cores.values())
    assert cores.leader() is not None


def test_large_snapshot_reaches_a_core_that_was_cut_off(cores):
    """Guards against a snapshot beyond one frame that is never complete."""
    behind = cores.cores[followers(cores)[0]]
    cores.cut_off = {behind.name}
    for _ in range(6):
        cores.propose(b"x" * (1 << 18))
        cores.run(50)
    cores.compact(cores.leader().replica_id)
    cores.cut_off = set()
    cores.run(1000)
    assert behind.log.snapshot == cores.leader().log.snapshot
    assert len(behind.log.snapshot.data) > 1 << 20
    assert behind.n_applied == len(cores.committed)
