"""Individual safety rules of the replicated log, with the fault each prevents."""

from dataclasses import replace

import pytest

from pollenfold.core.agreement import messages
from pollenfold.core.agreement.consensus import Entry, Log, Snapshot, is_leader, step
from pollenfold.tests.core.agreement.simulated_cluster import SimulatedCluster

VOTE_REQUEST = messages.VoteRequest(9, False, 100, 9)


@pytest.fixture
def cluster():
    """Return three replicas that have a leader and one committed command."""
    return started_cluster(3)


def started_cluster(n_replicas):
    cluster = SimulatedCluster(n_replicas)
    cluster.run(3000)
    cluster.propose(b"first")
    cluster.run(300)
    assert all(replica.n_applied == 2 for replica in cluster.replicas.values())
    return cluster


def followers(cluster):
    return [name for name in cluster.replicas if name != cluster.leader().replica_id]


def receive(cluster, sender, recipient, body, incarnation=None):
    """Deliver one message immediately and return the bodies of the messages sent.

    ``incarnation`` defaults to the current one of the sender.
    """
    incarnation = incarnation or cluster.replicas[sender].incarnation
    n_before = len(cluster.in_flight)
    message = messages.Message(sender, recipient, incarnation, body)
    cluster.step(recipient, messages.Receive(message))
    sent = [message.body for message in cluster.in_flight[n_before:]]
    del cluster.in_flight[n_before:]
    return sent


def run_until(cluster, condition):
    """Run until the condition holds, for at most 10 s of simulated time."""
    end_at = cluster.now + 10_000
    while not condition():
        assert cluster.now < end_at
        cluster.run(1)


def is_applied(cluster, command):
    return command in [entry.command for entry, _ in cluster.committed]


def test_reconnected_replica_does_not_raise_the_term(cluster):
    """Guards against an election forced by a replica that was partitioned."""
    leader = cluster.leader()
    cluster.isolated = {followers(cluster)[0]}
    cluster.run(20_000)
    cluster.isolated = set()
    cluster.run(2000)
    assert cluster.leader().replica_id == leader.replica_id
    assert {replica.state.term for replica in cluster.replicas.values()} == {
        leader.term
    }


def test_resumed_leader_neither_leads_nor_commits(cluster):
    """Guards against a suspended leader that resumes as if no time had passed."""
    old = cluster.replicas[cluster.leader().replica_id]
    suspended, old.state = old.state, None
    cluster.run(3000)
    assert cluster.leader().replica_id != old.name
    cluster.in_flight.clear()
    old.state = suspended
    assert not is_leader(old.state, cluster.now)
    cluster.step(old.name, messages.Propose(b"from the old leader"))
    cluster.run(2000)
    assert not is_applied(cluster, b"from the old leader")
    assert cluster.leader().replica_id != old.name


def test_leader_without_a_majority_steps_down(cluster):
    """Guards against an isolated leader that leads for more than one timeout."""
    leader = cluster.leader().replica_id
    cluster.isolated = {leader}
    cluster.run(400)
    assert not is_leader(cluster.replicas[leader].state, cluster.now)
    cluster.run(500)
    assert cluster.replicas[leader].state.leader_id != leader


@pytest.mark.parametrize("is_blank, n_terms_later", [(False, 1), (True, 0)])
def test_entry_is_not_committed_by_counting_replicas(cluster, is_blank, n_terms_later):
    """Guards against a commit that a later leader may not have.

    The entry is of an earlier term, or stored by a replica that may not vote yet.
    """
    leader = cluster.leader()
    cluster.isolated = {leader.replica_id}
    cluster.propose(b"second")
    state = replace(cluster.leader(), term=leader.term + n_terms_later)
    body = messages.AppendResponse(state.term, True, 3, is_blank, cluster.now)
    peer = followers(cluster)[0]
    message = messages.Message(peer, state.replica_id, f"{peer}0", body)
    state, _ = step(state, messages.Receive(message), cluster.now, 500)
    assert state.log.last_index == 3 and state.commit_index == 2


def test_new_leader_leads_once_an_entry_of_its_term_is_committed():
    """Guards against a new leader that doesn't know the current commit index."""
    cluster = SimulatedCluster(3)
    run_until(cluster, lambda: cluster.leader() is not None)
    assert not is_leader(cluster.leader(), cluster.now)
    cluster.run(50)
    assert is_leader(cluster.leader(), cluster.now)


def test_late_responses_do_not_extend_the_leadership(cluster):
    """Guards against a timeout that counts from the arrival of a late response.

    It must count from when the leader sent the request.
    """
    leader = cluster.leader()
    cluster.now += 500
    for peer in followers(cluster):
        body = messages.AppendResponse(leader.term, True, 2, False, cluster.now - 450)
        receive(cluster, peer, leader.replica_id, body)
    assert not is_leader(cluster.leader(), cluster.now)


@pytest.mark.parametrize("is_pre_vote", [True, False])
def test_blank_replica_never_votes(cluster, is_pre_vote):
    """Guards against a vote by a replica that lost its earlier votes and entries."""
    voter, candidate = followers(cluster)
    cluster.lose_disk(voter)
    cluster.now += 5000
    request = replace(VOTE_REQUEST, is_pre_vote=is_pre_vote)
    [response] = receive(cluster, candidate, voter, request)
    assert not response.is_granted
    assert cluster.replicas[voter].stored is None


def test_vote_is_refused_after_recent_leader_contact(cluster):
    """Guards against a second leader while the first may still respond as leader."""
    voter, candidate = followers(cluster)
    [response] = receive(cluster, candidate, voter, VOTE_REQUEST)
    assert not response.is_granted
    assert cluster.replicas[voter].state.term < VOTE_REQUEST.term
    cluster.start(voter)
    cluster.now += 399
    [response] = receive(cluster, candidate, voter, VOTE_REQUEST)
    assert not response.is_granted


def test_no_vote_up_to_the_term_of_the_rejoin(cluster):
    """Guards against a second vote in a term for which the lost disk held one."""
    voter, candidate = followers(cluster)
    cluster.lose_disk(voter)
    cluster.run(3000)
    assert not cluster.replicas[voter].is_blank
    cluster.start(voter)
    cluster.now += 5000
    request = replace(VOTE_REQUEST, term=cluster.replicas[voter].state.term)
    [response] = receive(cluster, candidate, voter, request)
    assert not response.is_granted


def test_second_loss_right_after_a_repair(cluster):
    """Guards against the loss of a change that only the lost disks held."""
    leader = cluster.leader().replica_id
    repaired, behind = followers(cluster)
    cluster.isolated = {behind}
    cluster.propose(b"second")
    cluster.run(300)
    assert is_applied(cluster, b"second")
    cluster.lose_disk(repaired)
    cluster.run(5000)
    assert cluster.replicas[repaired].is_blank
    cluster.isolated = set()
    run_until(cluster, lambda: not cluster.replicas[repaired].is_blank)
    cluster.lose_disk(leader)
    cluster.isolated = {behind}
    cluster.run(5000)
    cluster.isolated = set()
    cluster.run(5000)
    cluster.propose(b"third")
    cluster.run(500)
    commands = [entry.command for entry, _ in cluster.committed if entry.command]
    assert commands == [b"first", b"second", b"third"]
    assert {replica.n_applied for replica in cluster.replicas.values()} == {
        len(cluster.committed)
    }


def test_request_to_the_earlier_incarnation_does_not_end_the_blank_state(cluster):
    """Guards against a rejoin through a late request to the earlier incarnation, which
    lacks the entries acknowledged since it was sent."""
    leader = cluster.leader()
    blank = followers(cluster)[0]
    late = messages.AppendRequest(
        leader.term, 0, 0, leader.log.entries, 2, 2, f"{blank}0", cluster.now
    )
    cluster.propose(b"second")
    cluster.run(300)
    cluster.lose_disk(blank)
    replica = cluster.replicas[blank]
    rejoin = replace(replica.state.rejoin, terms=dict.fromkeys("xy", leader.term))
    replica.state = replace(replica.state, rejoin=rejoin)
    receive(cluster, leader.replica_id, blank, late)
    assert replica.n_applied == 2 and replica.is_blank
    current = replace(late, to_incarnation=replica.incarnation)
    receive(cluster, leader.replica_id, blank, current)
    assert not replica.is_blank


@pytest.mark.parametrize(
    "terms_later, n_entries_behind", [((0,), 0), ((0, 1), 0), ((0, 0), 1)]
)
def test_blank_replica_stays_blank(cluster, terms_later, n_entries_behind):
    """Guards against a vote that conflicts with votes or entries of the lost disk.

    The replica must stay blank while too few replicas have responded, when the leader
    was deposed, and while entries are missing.
    """
    leader = cluster.leader()
    blank = followers(cluster)[0]
    cluster.lose_disk(blank)
    replica = cluster.replicas[blank]
    terms = {str(i): leader.term + later for i, later in enumerate(terms_later)}
    replica.state = replace(
        replica.state, rejoin=replace(replica.state.rejoin, terms=terms)
    )
    request = messages.AppendRequest(
        leader.term,
        0,
        0,
        leader.log.entries,
        2,
        2 + n_entries_behind,
        replica.incarnation,
        cluster.now,
    )
    receive(cluster, leader.replica_id, blank, request)
    assert replica.n_applied == 2 and replica.is_blank


def test_leader_resets_the_progress_of_a_new_incarnation(cluster):
    """Guards against a commit that counts entries of a lost disk."""
    leader = cluster.leader().replica_id
    blank = followers(cluster)[0]
    cluster.lose_disk(blank)
    receive(cluster, blank, leader, messages.Inquiry(1))
    progress = cluster.replicas[leader].state.progress[blank]
    assert progress.match_index == 0 and progress.is_blank
    late = messages.AppendResponse(cluster.leader().term, True, 2, False, cluster.now)
    receive(cluster, blank, leader, late, incarnation=f"{blank}0")
    assert cluster.replicas[leader].state.progress[blank].match_index == 0


def test_late_vote_of_a_lost_disk_does_not_elect_a_second_leader():
    """Guards against votes of two incarnations of one replica in the same term.

    The voter grants a vote that only one candidate receives, loses its disk, and sends
    inquiries to replicas that haven't seen the term yet.
    """
    cluster = started_cluster(5)
    leader = cluster.leader().replica_id
    candidate, voter, late_voter, other = followers(cluster)
    replica = cluster.replicas[candidate]
    term = replica.state.term + 1
    cluster.isolated = {candidate}
    run_until(cluster, lambda: replica.state.leader_id is None)
    granted = messages.VoteResponse(0, replica.incarnation, True, term, True)
    for name in (late_voter, voter):
        receive(cluster, name, candidate, granted)
    assert replica.state.term == term
    votes = messages.VoteResponse(term, replica.incarnation, False, term, True)
    receive(cluster, voter, candidate, votes)
    cluster.lose_disk(voter)
    run_until(cluster, lambda: not cluster.replicas[voter].is_blank)
    receive(cluster, late_voter, candidate, votes)
    assert cluster.leaders.get(term) != candidate
    assert cluster.leader().replica_id == leader


def test_vote_for_an_earlier_incarnation_is_not_counted(cluster):
    """Guards against a vote granted to a longer log that was lost with a disk."""
    candidate, voter = followers(cluster)
    cluster.isolated = {candidate}
    cluster.run(2000)
    replica = cluster.replicas[candidate]
    term = replica.state.term + 1
    stale = messages.VoteResponse(0, "earlier", True, term, True)
    receive(cluster, voter, candidate, stale)
    assert replica.state.term < term
    granted = replace(stale, to_incarnation=replica.incarnation)
    wake_at, cluster.now = replica.state.wake_at, replica.state.wake_at
    receive(cluster, voter, candidate, granted)
    assert replica.state.term < term, "a vote counted after the end of the candidacy"
    cluster.now = wake_at - 1
    receive(cluster, voter, candidate, granted)
    assert replica.state.term == term


def test_vote_survives_a_restart(cluster):
    """Guards against two votes in one term, one before and one after a restart."""
    voter, candidate = followers(cluster)
    for name, is_granted in ((candidate, True), (cluster.leader().replica_id, False)):
        cluster.start(voter)
        cluster.now += 5000
        [response] = receive(cluster, name, voter, VOTE_REQUEST)
        assert response.is_granted is is_granted


def test_snapshot_discards_entries_that_conflict():
    """Guards against entries of a deposed leader that follow a newer snapshot."""
    entries = tuple(Entry(index, 1, b"x") for index in (1, 2, 3))
    assert Log(entries=entries).with_snapshot(Snapshot(2, 1)).entries == entries[2:]
    assert Log(entries=entries).with_snapshot(Snapshot(2, 2)).entries == ()


def test_one_round_of_blank_responses_founds_no_cluster():
    """Guards against responses of replicas that were blank at different times."""
    cluster = SimulatedCluster(3)
    cluster.tick()
    for _ in range(12):
        cluster.deliver(0)
    assert not cluster.in_flight
    assert all(replica.is_blank for replica in cluster.replicas.values())
    cluster.run(300)
    assert not any(replica.is_blank for replica in cluster.replicas.values())


def test_blank_replica_joins_a_cluster_that_the_others_founded():
    """Guards against a first start that blocks because one replica starts late."""
    cluster = SimulatedCluster(3)
    for _ in range(2):
        cluster.tick()
        cluster.in_flight = [m for m in cluster.in_flight if m.sender == "a"]
        while cluster.in_flight:
            cluster.deliver(0)
        cluster.now += 100
    assert [replica.is_blank for replica in cluster.replicas.values()] == [
        False,
        True,
        True,
    ]
    cluster.run(3000)
    assert not any(replica.is_blank for replica in cluster.replicas.values())
    assert cluster.leader() is not None


def test_large_snapshot_reaches_a_reconnected_replica(cluster):
    """Guards against a snapshot larger than one frame that is never completed."""
    behind = cluster.replicas[followers(cluster)[0]]
    cluster.isolated = {behind.name}
    for _ in range(6):
        cluster.propose(b"x" * (1 << 18))
        cluster.run(50)
    cluster.compact(cluster.leader().replica_id)
    cluster.isolated = set()
    cluster.run(1000)
    assert behind.log.snapshot == cluster.leader().log.snapshot
    assert len(behind.log.snapshot.data) > 1 << 20
    assert behind.n_applied == len(cluster.committed)
