"""Hedged attempts require a valid lease."""

import pytest

from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.entry.attempts import AttemptResult
from pollenfold.entry.hedges import run_hedged_attempt


class SlowAttempt:
    """An attempt that has no response at the end of the hedge delay."""

    started_at = 0.0

    def __init__(self):
        self.backend = self
        self.candidate = self
        self.key = "first"
        self.results = [None, AttemptResult(AttemptOutcome.EXPIRED)]

    async def start(self, exchange):
        return None

    async def wait_until(self, exchange, until, is_cancellable):
        return self.results.pop(0)


class Runtime:
    """Counts the requested hedges."""

    n_hedges = 0
    deadline = 1000.0

    def hedge_delay_ms(self):
        return 1.0

    def acquire_hedge(self, tried):
        self.n_hedges += 1

    async def finish_attempt(self, attempt, result):
        return None


@pytest.mark.parametrize(("has_lease", "n_hedges"), [(True, 1), (False, 0)])
def test_no_hedge_without_a_lease(run, has_lease, n_hedges):
    """Guards against a hedge by an entry that was suspended beyond its lease."""
    runtime = Runtime()
    run(run_hedged_attempt, runtime, SlowAttempt(), runtime, set(), lambda: has_lease)
    assert runtime.n_hedges == n_hedges
