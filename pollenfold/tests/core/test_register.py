"""The register of one key on a replica, and recovery from a majority of replicas."""

import pytest

from pollenfold.core.clock import Instant
from pollenfold.core.register import (
    BLANK_REGISTER,
    EMPTY,
    RETENTION_MS,
    Accept,
    Claim,
    Outcome,
    Prepare,
    Register,
    State,
    Value,
    handle,
    is_droppable,
    merge_copies,
    recover,
    withdraw,
)

NOW = Instant(1000.0)
BALLOT = (1, "p")
NEAR_RETENTION_MS = RETENTION_MS - 1000


def claimed(*claim_ids):
    state = State.CLAIMED if len(claim_ids) == 1 else State.IN_DOUBT
    return Value(state, claim_ids)


def vote(claim_id):
    return Register(value=claimed(claim_id), changed_at=NOW)


C = vote("c")
D = vote("d")
UNKNOWN_VOTE = Register(is_vote_unknown=True)
ABANDONED = Value(State.ABANDONED, ("c",))
COMPLETED = Value(State.COMPLETED, ("c",), Outcome(200))


def accepted(value, ballot=BALLOT, changed_at=0.0):
    return Register(ballot, ballot, value, False, Instant(changed_at))


@pytest.mark.parametrize(
    "register, message, is_granted",
    [
        (BLANK_REGISTER, Claim("c"), True),
        (C, Claim("c"), True),
        (C, Claim("d"), False),
        (UNKNOWN_VOTE, Claim("c"), False),
        (Register(promised=BALLOT), Claim("c"), False),
        (Register(BALLOT, value=claimed("c")), Claim("c"), False),
        (accepted(claimed("c")), Claim("c"), False),
        (accepted(ABANDONED), Claim("c"), False),
        (C, Prepare(BALLOT), True),
        (Register(promised=BALLOT), Prepare(BALLOT), False),
        (Register(promised=(2, "")), Prepare(BALLOT), False),
        (Register(promised=BALLOT), Accept(BALLOT, COMPLETED), True),
        (Register(promised=(1, "q")), Accept(BALLOT, COMPLETED), False),
    ],
)
def test_replica_grants_only_permitted_messages(register, message, is_granted):
    """Guards against two votes by one replica, and against violating a promise."""
    after, granted = handle(register, message, NOW)
    assert granted is is_granted
    assert is_granted or after is register


def test_repeated_value_keeps_its_age():
    """Guards against a claim that stays in progress indefinitely because resends of its
    key store it again."""
    register, _ = handle(C, Accept(BALLOT, claimed("c")), Instant(9000.0))
    assert register.changed_at == NOW
    register, _ = handle(register, Accept(BALLOT, COMPLETED), Instant(9000.0))
    assert register.changed_at == 9000.0


OPEN = Value(State.IN_DOUBT, ("c",), is_open=True)


@pytest.mark.parametrize(
    "n_replicas, promises, expected",
    [
        (3, [BLANK_REGISTER, BLANK_REGISTER], EMPTY),
        (3, [C, BLANK_REGISTER], claimed("c")),
        (3, [C, D], claimed("c", "d")),
        (3, [C, D, C], claimed("c")),
        (3, [C, BLANK_REGISTER, BLANK_REGISTER], EMPTY),
        (3, [C, UNKNOWN_VOTE, D], claimed("c", "d")),
        (3, [C, UNKNOWN_VOTE], OPEN),
        (3, [C, accepted(ABANDONED)], ABANDONED),
        (3, [accepted(claimed("d"), (2, "q")), accepted(ABANDONED)], claimed("d")),
        (5, [C, D, BLANK_REGISTER], claimed("c", "d")),
        (5, [C, BLANK_REGISTER, BLANK_REGISTER], claimed("c")),
        (5, [C, D, BLANK_REGISTER, BLANK_REGISTER], EMPTY),
        (5, [C, C, D, UNKNOWN_VOTE], claimed("c", "d")),
        (5, [C, C, C, D], claimed("c")),
    ],
)
def test_recovered_value(n_replicas, promises, expected):
    """Guards against a recovery that omits a claim which may have a majority."""
    aged = [(register, 0.0) for register in promises]
    assert recover(aged, n_replicas) == expected


@pytest.mark.parametrize(
    "copies, value, is_unknown",
    [
        ([C, BLANK_REGISTER], C.value, False),
        ([C, D], EMPTY, True),
        ([UNKNOWN_VOTE, BLANK_REGISTER], EMPTY, True),
        ([C, accepted(ABANDONED)], ABANDONED, False),
        ([D, accepted(claimed("c"))], claimed("c"), False),
    ],
)
def test_copy_after_a_lost_disk(copies, value, is_unknown):
    """Guards against a replica that loses its disk and returns with a vote it may not
    have granted, or without a promise it made."""
    promised = Register(promised=(7, "q"))
    merged = merge_copies([(register, 0.0) for register in [*copies, promised]])
    assert (merged.value, merged.is_vote_unknown) == (value, is_unknown)
    assert merged.promised == (7, "q")


@pytest.mark.parametrize("old", [ABANDONED, COMPLETED])
@pytest.mark.parametrize(
    "age_ms, is_doubt", [(NEAR_RETENTION_MS, True), (NEAR_RETENTION_MS / 2, False)]
)
def test_claim_beside_an_expiring_value_is_in_doubt(old, age_ms, is_doubt):
    """Guards against a second execution when one replica still holds a value that the
    others had dropped by age before they accepted a new claim."""
    aged = [(D, 10.0), (accepted(old), age_ms)]
    value = recover(aged, 3)
    assert (value.state is State.IN_DOUBT) is is_doubt
    assert not is_doubt or value.is_open
    assert merge_copies(aged).is_vote_unknown is is_doubt


@pytest.mark.parametrize(
    "register, is_dropped",
    [
        (accepted(COMPLETED), True),
        (accepted(ABANDONED), True),
        (accepted(claimed("c")), False),
        (accepted(claimed("c", "d")), False),
        (UNKNOWN_VOTE, False),
        (Register(BALLOT, promised_at=NOW), False),
    ],
)
def test_retention(register, is_dropped):
    """Guards against dropping by age a claim without an outcome, or a promise of a
    round in progress."""
    assert is_droppable(register, Instant(RETENTION_MS)) is is_dropped
    assert not is_droppable(register, Instant(RETENTION_MS - 1))


@pytest.mark.parametrize(
    "value, expected",
    [
        (claimed("c"), ABANDONED),
        (claimed("d"), claimed("d")),
        (claimed("c", "d"), claimed("d")),
        (claimed("c", "d", "e"), claimed("d", "e")),
        (OPEN, Value(State.IN_DOUBT, (), is_open=True)),
        (COMPLETED, COMPLETED),
    ],
)
def test_withdrawn_claim(value, expected):
    """Guards against a withdrawal that releases a key held by another claim."""
    assert withdraw(value, "c") == expected
