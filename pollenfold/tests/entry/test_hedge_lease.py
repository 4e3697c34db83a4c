"""No hedge starts without a lease."""

import pytest

from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.entry.attempts import AttemptResult
from pollenfold.entry.hedges import race


class SlowAttempt:
    """An attempt that has no response when the hedge is due."""

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
    """Counts the hedges that were asked for."""

    n_hedges = 0
    deadline = 1000.0

    def hedge_delay_ms(self):
        return 1.0

    def acquire_hedge(self, tried):
        self.n_hedges += 1

    async def finish(self, attempt, result):
        return None


@pytest.mark.parametrize(("has_lease", "n_hedges"), [(True, 1), (False, 0)])
def test_no_hedge_without_a_lease(run, has_lease, n_hedges):
    """Guards against a hedge by an entry that was suspended during the first wait."""
    runtime = Runtime()
    run(race, runtime, SlowAttempt(), runtime, set(), lambda: has_lease)
    assert runtime.n_hedges == n_hedges
