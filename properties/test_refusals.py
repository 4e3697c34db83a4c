"""What a response may say about its request, for every status, mark and kind."""

from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.outcomes import (
    REFUSAL_STATUSES,
    AttemptOutcome,
    response_outcome,
)

statuses = st.integers(min_value=200, max_value=599)


@given(statuses, st.booleans())
def test_only_a_marked_response_promises_that_an_order_was_not_executed(
    status, is_marked
):
    """Guards against a refusal status that is passed on, and a retry, without the mark
    of a server that didn't execute a non-idempotent request."""
    outcome = response_outcome(status, is_marked=is_marked, is_idempotent=False)
    if outcome is AttemptOutcome.RESPONDED:
        assert status not in REFUSAL_STATUSES
    if outcome is AttemptOutcome.NOT_STARTED:
        assert is_marked and status >= 300
        # These count as executed whatever the response says.
        assert status not in (500, 504)


@given(statuses, st.booleans(), st.booleans())
def test_success_without_a_mark_is_always_passed_on(status, is_marked, is_idempotent):
    """Guards against a success that is withheld, or one that says it was refused."""
    outcome = response_outcome(status, is_marked=is_marked, is_idempotent=is_idempotent)
    if status < 300:
        assert (outcome is AttemptOutcome.RESPONDED) is not is_marked


@given(statuses)
def test_idempotent_request_keeps_its_response(status):
    """Guards against a status of an endpoint that callers of idempotent requests no
    longer get, or that is no longer retried."""
    outcome = response_outcome(status, is_marked=False, is_idempotent=True)
    is_retried = status in (500, 502, 503, 504)
    expected = AttemptOutcome.SERVER_ERROR if is_retried else AttemptOutcome.RESPONDED
    assert outcome is expected
