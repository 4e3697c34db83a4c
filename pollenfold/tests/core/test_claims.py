"""The claimant's side of a register: results of claim, abandon and complete."""

import pytest

from pollenfold.core import claims
from pollenfold.core.claims import Finish, Pause, Send
from pollenfold.core.errors import ErrorKind
from pollenfold.core.register import (
    BLANK_REGISTER,
    Accept,
    Outcome,
    Prepare,
    Register,
    Reply,
    State,
    Value,
)

EPOCHS = (1, 1, 1)
OUTCOME = Outcome(201, ((b"a", b"b"),), b"body")
HIGH_BALLOT = (4, "q")


def value(state, *claim_ids, **fields):
    return Value(State(state), claim_ids, **fields)


COMPLETED = value("completed", "c", outcome=OUTCOME)


def granted(register=BLANK_REGISTER, epochs=EPOCHS, age_ms=0.0):
    return Reply(True, register, age_ms, epochs)


def refused(stored, age_ms=0.0, promised=HIGH_BALLOT):
    return Reply(False, Register(promised, promised, stored), age_ms, EPOCHS)


def start(operation):
    return operation, operation.start()


def claim(claim_id="c"):
    return start(claims.claim(3, "p", claim_id, 100.0))


def replies(operation, phase, *received):
    """Pass the replies of replicas 0, 1, ... (None: no reply); return the last
    action."""
    action = None
    for index, reply in enumerate(received):
        if reply is None:
            action = operation.on_failure(phase, index)
        else:
            action = operation.on_reply(phase, index, reply)
    return action


def test_majority_at_ballot_0_claims_in_one_round_trip():
    """Guards against a claim that succeeds with the vote of a single replica.

    A repeated reply of the same replica must not count as a second vote.
    """
    operation, _ = claim()
    assert replies(operation, 1, granted()) is None
    assert operation.on_reply(1, 0, granted()) is None
    assert operation.on_reply(1, 1, granted()) == Finish(claims.Claimed())


def test_vote_of_a_lost_disk_does_not_count():
    """Guards against a majority that combines votes granted before and after a replica
    lost its disk."""
    operation, _ = claim()
    later = granted(epochs=(2, 1, 1))
    assert replies(operation, 1, granted(), later) is None
    assert operation.on_failure(1, 2) == Finish(claims.Unavailable())


@pytest.mark.parametrize(
    "received, expected",
    [
        ([refused(value("claimed", "d"))] * 2, claims.InProgress()),
        ([refused(value("claimed", "d"), age_ms=100.0)] * 2, claims.InDoubt()),
        ([refused(COMPLETED)] * 2, claims.Completed(OUTCOME)),
        ([None, None], claims.Unavailable()),
    ],
)
def test_resend_finishes_in_one_round_trip(received, expected):
    """Guards against a resend that is executed again, or that waits when no majority
    replies."""
    operation, _ = claim("e")
    actions = [replies(operation, 1, *received), operation.on_failure(1, 2)]
    assert Finish(expected) in actions


def test_own_claim_in_refusals_needs_a_round():
    """Guards against a dispatch when the claimant's id appears in refusals without
    having been chosen."""
    operation, _ = claim("c")
    action = replies(operation, 1, *[refused(value("claimed", "c"))] * 2)
    assert action == Send(2, Prepare((5, "p")))
    stored = Register((5, "p"), HIGH_BALLOT, value("claimed", "c"))
    action = replies(operation, 2, granted(stored), granted(stored))
    assert action == Send(3, Accept((5, "p"), value("claimed", "c")))
    assert replies(operation, 3, granted(), granted()) == Finish(claims.Claimed())


def split(operation):
    """Start a round for claim ``c`` after a split vote; return one promise per
    claim."""
    vote_c = Register(value=value("claimed", "c"))
    vote_d = Register(value=value("claimed", "d"))
    refusal = Reply(False, vote_d, 0.0, EPOCHS)
    assert replies(operation, 1, granted(), refusal, None) == Send(2, Prepare((1, "p")))
    return granted(vote_c), granted(vote_d)


def test_claimant_in_doubt_keeps_the_other_claim():
    """Guards against a dispatch from a split vote, and against a value that stays in
    doubt although this claimant knows that it did not dispatch."""
    operation, _ = claim("c")
    promises = split(operation)
    assert replies(operation, 2, *promises) is None
    action = operation.on_failure(2, 2)
    assert action == Send(3, Accept((1, "p"), value("claimed", "d")))
    assert replies(operation, 3, granted(), granted()) == Finish(claims.InProgress())


def test_third_reply_settles_a_split_vote():
    """Guards against an in-doubt result while the deciding reply is outstanding."""
    operation, _ = claim("c")
    promises = split(operation)
    assert replies(operation, 2, *promises) is None
    action = operation.on_reply(2, 2, promises[0])
    assert action == Send(3, Accept((1, "p"), value("claimed", "c")))


def test_third_claimant_stores_an_in_doubt_value():
    """Guards against a claimant that chooses one of two claims of other claimants."""
    operation, _ = claim("e")
    promises = split(operation)
    replies(operation, 2, *promises)
    action = operation.on_failure(2, 2)
    assert action == Send(3, Accept((1, "p"), value("in_doubt", "c", "d")))
    assert replies(operation, 3, granted(), granted()) == Finish(claims.InDoubt())


def test_competing_round_uses_its_own_ballot():
    """Guards against a value proposed at the ballot of another claimant, learned from a
    refusal during the prepare phase."""
    operation, action = start(claims.abandon(3, "p", "c"))
    assert action == Send(1, Prepare((1, "p")))
    other = refused(value("claimed", "d"))
    action = replies(operation, 1, other, granted(), granted())
    assert action == Send(2, Accept((1, "p"), value("abandoned", "c")))
    assert isinstance(replies(operation, 2, other, other), Pause)
    assert operation.resume() == Send(4, Prepare((5, "p")))


@pytest.mark.parametrize(
    "stored, expected",
    [
        (value("empty"), None),
        (value("claimed", "c"), None),
        (value("claimed", "d"), ErrorKind.IN_PROGRESS),
        (value("in_doubt", "c", "d"), ErrorKind.IN_PROGRESS),
        (value("in_doubt", "d", "e"), ErrorKind.OUTCOME_UNKNOWN),
        (COMPLETED, ErrorKind.OUTCOME_UNKNOWN),
    ],
)
def test_abandon_succeeds_only_for_a_free_key(stored, expected):
    """Guards against did_not_run while another claimant may execute the request."""
    operation, _ = start(claims.abandon(3, "p", "c"))
    register = Register((1, "p"), (0, "z"), stored)
    replies(operation, 1, granted(register), granted(register))
    result = replies(operation, 2, granted(), granted()).result
    assert result.is_ok() if expected is None else result.error is expected


@pytest.mark.parametrize(
    "previous, is_stored",
    [
        (value("claimed", "c"), True),
        (value("in_doubt", "c", "d"), True),
        (value("in_doubt", is_open=True), True),
        (COMPLETED, True),
        (value("completed", "c", outcome=Outcome(500)), False),
        (value("completed", "d", outcome=OUTCOME), False),
        (value("claimed", "d"), False),
        (value("abandoned", "c"), False),
    ],
)
def test_complete_never_replaces_an_outcome(previous, is_stored):
    """Guards against replacing an outcome, and against storing one for another
    claim."""
    operation, _ = start(claims.complete(3, "p", "c", OUTCOME))
    register = Register((1, "p"), (0, "z"), previous)
    action = replies(operation, 1, granted(register), granted(register))
    assert action.message.value == (COMPLETED if is_stored else previous)
    assert replies(operation, 2, granted(), granted()).result.is_ok() is is_stored


def test_operation_gives_up_after_repeated_competition():
    """Guards against an operation that never ends while others use higher ballots."""
    operation, action = start(claims.abandon(3, "p", "c"))
    for n in range(1, 20):
        other = refused(value("claimed", "d"), promised=(100 * n, "q"))
        action = replies(operation, action.phase, other, other)
        if isinstance(action, Finish):
            break
        action = operation.resume()
    assert action.result.error is ErrorKind.LEDGER_UNAVAILABLE
