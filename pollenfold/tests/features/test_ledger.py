"""Steps of ledger.feature: an earlier request, a fault, and the resend."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from pollenfold.core.claims import (
    Claimed,
    Completed,
    InDoubt,
    InProgress,
    Unavailable,
)
from pollenfold.core.register import RETENTION_MS, Claim, Outcome
from pollenfold.testing.ledger import LocalLedger
from pollenfold.wire.ledger import encode_request

scenarios("ledger.feature")

TIMEOUT_MS = 5000.0
OUTCOME = Outcome(201, body=b"booked")
ANSWERS = {
    "claimed": Claimed(),
    "completed": Completed(OUTCOME),
    "in progress": InProgress(),
    "in doubt": InDoubt(),
    "unavailable": Unavailable(),
}


@pytest.fixture
def steps():
    """Coroutine functions of the scenario, run in one loop by the last step."""
    return {}


@given(parsers.parse("a ledger of {n:d} replicas"))
def ledger_size(steps, n):
    steps["n"] = n


@given(parsers.parse("an earlier request with the same key is {state}"))
def earlier_request(steps, state):
    async def prepare(ledger):
        client = ledger.client("entry-1")
        if state == "split in two":
            for name, claim_id in (("a", "c1"), ("b", "c2"), ("c", "c1")):
                payload = encode_request("key", Claim(claim_id))
                await ledger.replicas[name].answer(payload)
            return
        if state == "stored without c":
            ledger.isolate("c")
        assert await client.claim("key", "c1", TIMEOUT_MS) == Claimed()
        if state == "abandoned":
            assert (await client.abandon("key", "c1")).is_ok()
        if state in ("completed", "stored without c", "past its retention"):
            assert (await client.complete("key", "c1", OUTCOME)).is_ok()
        if state == "past its timeout":
            ledger.wall_clock.advance(TIMEOUT_MS)
        if state == "past its retention":
            ledger.wall_clock.advance(RETENTION_MS)
        ledger.reconnect("c")

    steps["state"] = prepare


@when("nothing happens")
def no_fault(steps):
    async def fault(ledger):
        return

    steps["fault"] = fault


@when(parsers.re(r"replicas? (?P<names>[a-e, ]+) (is|are) (?P<what>\w+)"))
def silent_replicas(steps, names, what):
    async def fault(ledger):
        for name in names.split(", "):
            if what == "isolated":
                ledger.isolate(name)
            elif what == "suspended":
                ledger.suspend(name)
            else:
                await ledger.stop(name)

    steps["fault"] = fault


@when(parsers.re(r"replicas? (?P<names>[a-e, ]+) (loses its disk|lose their disks)"))
def lost_disks(steps, names):
    """Lose the disks one after the other, each right after the copy before it."""

    async def fault(ledger):
        for name in names.split(", "):
            await ledger.lose_disk(name)
            assert await ledger.join(name)

    steps["fault"] = fault


@when("the disk of replica a fails")
def failed_disk(steps):
    async def fault(ledger):
        ledger.fail_disk("a")
        await ledger.client("entry-3").abandon("other", "c3")

    steps["fault"] = fault


@when("all replicas crash in a write")
def torn_writes(steps):
    async def fault(ledger):
        for name in ledger.names:
            await ledger.crash_in_write(name)

    steps["fault"] = fault


@then(parsers.parse('the resend gets "{answer}"'))
def check_answer(steps, run, tmp_path, answer):
    """Guards against a resend that runs again, loses its outcome or hangs."""

    async def main():
        async with LocalLedger(tmp_path, steps["n"]) as ledger:
            await steps["state"](ledger)
            await steps["fault"](ledger)
            client = ledger.client("entry-2")
            assert await client.claim("key", "d", TIMEOUT_MS) == ANSWERS[answer]

    run(main)
