"""How long commands wait for several replicas that become voters one after another."""

from dataclasses import replace

from pollenfold.control.replica import DynamicMembers, Replica
from pollenfold.core.agreement.acknowledgement import (
    GROWTH_WAIT_MS,
    LEARNER_WAIT_MS,
    Group,
    is_held_back,
)
from pollenfold.core.agreement.consensus import initial_state
from pollenfold.core.agreement.log import Log, Snapshot
from pollenfold.core.agreement.members import (
    encode_members,
    host_and_port,
    n_whole_voters,
)
from pollenfold.core.agreement.state import (
    ELECTION_TIMEOUT_MAX_MS,
    HEARTBEAT_MS,
    Progress,
    Role,
)
from pollenfold.core.clock import Instant, add_ms

VOTERS = tuple(f"{name}:1/x" for name in "abcde")
N_TARGET = 5
OPERATOR_TIMEOUT_MS = 4_000.0


def leader(learners, now):
    """Return a leader of five voters and the learners, all of which answer."""
    log = Log(snapshot=Snapshot(9, 1, encode_members(frozenset(VOTERS)) + b"\n"))
    state = initial_state(
        VOTERS[0], frozenset(VOTERS[:1]), "i", False, None, log, now, 400.0, True
    )
    others = (*VOTERS[1:], *learners)
    return replace(
        state,
        role=Role.LEADER,
        term=1,
        peers=others,
        learners=frozenset(learners),
        progress={k: Progress(10, now, 9) for k in others},
    )


def test_commands_wait_for_a_second_successor_as_long_as_for_the_first(tmp_path):
    """Guards against a learner that never catches up, after which no command waits for
    any other: each is acknowledged while two lost disks count as voters."""
    now = Instant(0.0)
    replica = Replica(
        VOTERS[0],
        {VOTERS[0]: ("a", 1)},
        tmp_path,
        lambda index, command: None,
        lambda: b"",
        lambda data: None,
        lambda: now,
        1,
        members=DynamicMembers(host_and_port, N_TARGET),
    )
    while now < 60_000.0:
        now = add_ms(now, HEARTBEAT_MS)
        replica._observe_growth(leader(["b:1/slow"], now))
    replica._observe_growth(leader(["b:1/slow", "c:1/new"], now))
    group = Group(
        3, 5, N_TARGET, False, Instant(0.0), Instant(0.0), replica.growing_since()
    )
    assert is_held_back(group, add_ms(now, HEARTBEAT_MS))


def test_commands_after_an_election_wait_less_than_operators():
    """Guards against the waits of a new leader and of a learner that add up to more
    than operators allow, if the lost disk was the leader's."""
    led_since = Instant(ELECTION_TIMEOUT_MAX_MS)
    growing_since = add_ms(led_since, LEARNER_WAIT_MS - 1.0)
    group = Group(4, 4, N_TARGET, False, Instant(0.0), led_since, growing_since)
    assert is_held_back(group, add_ms(growing_since, GROWTH_WAIT_MS / 2))
    assert not is_held_back(group, Instant(OPERATOR_TIMEOUT_MS))


def test_lost_disk_is_no_voter_while_its_successor_is_busy():
    """Guards against a lost disk that counts as a voter again, so that commands are
    acknowledged as if no disk was lost, while its successor writes a large snapshot."""
    now = Instant(10_000.0)
    state = leader(["b:1/new"], now)
    assert n_whole_voters(state, now) == N_TARGET - 1
    later = add_ms(now, ELECTION_TIMEOUT_MAX_MS + HEARTBEAT_MS)
    progress = {
        k: p if k == "b:1/new" else replace(p, last_contact_at=later)
        for k, p in state.progress.items()
    }
    assert n_whole_voters(replace(state, progress=progress), later) == N_TARGET - 1
