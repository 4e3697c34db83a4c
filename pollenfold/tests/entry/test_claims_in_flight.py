"""Limit on the claims to the ledger in flight at one entry."""

import curio
import pytest

from pollenfold.core.claims import Claimed
from pollenfold.core.clock import add_ms
from pollenfold.entry.non_idempotent import MAX_CLAIMS_IN_FLIGHT, NonIdempotentRunner
from pollenfold.http.messages import Response, find_header
from pollenfold.observe.clock import system_clock


class SlowLedger:
    """A ledger whose claims wait until they are released."""

    def __init__(self):
        self.n_claims = 0
        self.released = curio.Event()

    async def claim(self, key, claim_id, max_age_ms):
        self.n_claims += 1
        await self.released.wait()
        return Claimed()

    async def complete(self, key, claim_id, outcome):
        raise AssertionError("unexpected call: no claim is released in this test")


class Spec:
    """The fields of a service's record that a claim needs."""

    name = "s"
    timeout_ms = 60_000


async def dispatch():
    return Response(200, [], b"")


@pytest.mark.parametrize(
    ("is_callers_key", "state"), [(True, b"outcome_unknown"), (False, b"did_not_run")]
)
def test_claims_beyond_the_limit_are_refused_at_once(run, is_callers_key, state):
    """Guards against an unbounded number of claims to an overloaded ledger."""

    async def main():
        ledger = SlowLedger()
        runner = NonIdempotentRunner(ledger, "e1", system_clock)

        async def request(number):
            deadline = add_ms(system_clock(), 30_000.0)
            key = b"k%d" % number
            return await runner.run(Spec, key, is_callers_key, deadline, dispatch)

        for number in range(MAX_CLAIMS_IN_FLIGHT):
            await curio.spawn(request, number, daemon=True)
        await curio.sleep(0.05)
        async with curio.timeout_after(1.0):
            refused = await request(MAX_CLAIMS_IN_FLIGHT)
        assert refused.status == 503
        assert find_header(refused.headers, b"pollenfold-run-state") == state
        assert ledger.n_claims == MAX_CLAIMS_IN_FLIGHT

    run(main)
