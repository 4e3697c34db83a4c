"""What attempts show of a version, and their counts, without a network."""

import json

import pytest

from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.core.rollouts.outcomes import (
    MAX_ROUTES,
    OTHER_ROUTES,
    OutcomeTally,
    Verdict,
    judge_attempt,
)


@pytest.mark.parametrize(
    ("outcome", "status", "elapsed_ms", "verdict"),
    [
        (AttemptOutcome.RESPONDED, 200, 150.0, Verdict.GOOD),
        (AttemptOutcome.RESPONDED, 404, 100.0, Verdict.GOOD),
        (AttemptOutcome.RESPONDED, 200, 300.0, Verdict.SLOW),
        # A 500 on a route that isn't idempotent is passed on as the response.
        (AttemptOutcome.RESPONDED, 500, 10.0, Verdict.FAILED),
        (AttemptOutcome.SERVER_ERROR, 500, 10.0, Verdict.FAILED),
        (AttemptOutcome.LOST, 0, 10.0, Verdict.FAILED),
        (AttemptOutcome.EXPIRED, 0, 800.0, Verdict.FAILED),
        (AttemptOutcome.NOT_STARTED, 503, 10.0, None),
        (AttemptOutcome.UNREACHABLE, 0, 10.0, None),
    ],
)
def test_verdict_on_an_attempt(outcome, status, elapsed_ms, verdict):
    """Guards against a bad response that isn't evidence, and against a refusal that
    counts as one although nothing was executed."""
    assert judge_attempt(outcome, status, elapsed_ms, expected_ms=100.0) is verdict


def test_short_response_noticed_late_is_not_slow():
    """Load: an entry that is held up for 15 ms while a response of 2 ms arrives.

    Guards against a good version that looks slow because its entry is busy.
    """
    verdict = judge_attempt(AttemptOutcome.RESPONDED, 200, 17.0, expected_ms=2.0)
    assert verdict is Verdict.GOOD


def test_counts_by_route_and_version():
    """Guards against counts that mix versions, routes or kinds of bad responses."""
    tally = OutcomeTally(5)
    for verdict in (Verdict.GOOD, Verdict.GOOD, Verdict.FAILED):
        tally.add("r1", False, verdict)
    for verdict in (Verdict.SLOW, Verdict.SLOW, Verdict.FAILED, Verdict.GOOD):
        tally.add("r1", True, verdict)
    tally.add("r2", True, Verdict.GOOD)
    expected = {"r1": [3, 1, 0, 4, 1, 2], "r2": [0, 0, 0, 1, 0, 0]}
    assert json.loads(json.dumps(tally.encode())) == expected


def test_number_of_routes_is_bounded():
    """Guards against a report that grows with the number of routes."""
    tally = OutcomeTally(5)
    for number in range(3 * MAX_ROUTES):
        tally.add(f"r{number}", True, Verdict.GOOD)
    counts = tally.encode()
    assert len(counts) == MAX_ROUTES + 1
    assert counts[OTHER_ROUTES][3] == 2 * MAX_ROUTES
