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
RESULTS = {
    "claimed": Claimed(),
    "completed": Completed(OUTCOME),
    "in progress": InProgress(),
    "in doubt": InDoubt(),
    "unavailable": Unavailable(),
}


@pytest.fixture
def steps():
    """Coroutine functions of the scenario, which the last step runs in one loop."""
    return {}


@given(parsers.parse("a ledger of {n:d} replicas"))
def ledger_size(steps, n):
    steps["n"] = n


@given(parsers.parse("an earlier request with the same key is {state}"))
def earlier_request(steps, state):
    async def prepare(ledger):
        client = ledger.client("entry-1")
        if state == "claimed with split votes":
            for name, claim_id in (("a", "c1"), ("b", "c2"), ("c", "c1")):
                payload = encode_request("key", Claim(claim_id))
                await ledger.replicas[name].handle_request(payload)
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


@when("no fault occurs")
def no_fault(steps):
    async def fault(ledger):
        return

    steps["fault"] = fault


@when(parsers.re(r"replicas? (?P<names>[a-e, ]+) (is|are) (?P<fault_kind>\w+)"))
def unavailable_replicas(steps, names, fault_kind):
    async def fault(ledger):
        for name in names.split(", "):
            if fault_kind == "isolated":
                ledger.isolate(name)
            elif fault_kind == "suspended":
                ledger.suspend(name)
            else:
                await ledger.stop(name)

    steps["fault"] = fault


@when(parsers.re(r"replicas? (?P<names>[a-e, ]+) (loses its disk|lose their disks)"))
def lost_disks(steps, names):
    """Lose the disks in succession, each as soon as the previous replica rejoined."""

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


@when("all replicas crash during a write")
def partial_writes(steps):
    async def fault(ledger):
        for name in ledger.names:
            await ledger.restart_with_torn_entry(name)

    steps["fault"] = fault


@then(parsers.parse('the resend gets the result "{result}"'))
def check_result(steps, run, tmp_path, result):
    """Guards against a resend that is executed again, loses its outcome or hangs."""

    async def main():
        async with LocalLedger(tmp_path, steps["n"]) as ledger:
            await steps["state"](ledger)
            await steps["fault"](ledger)
            client = ledger.client("entry-2")
            assert await client.claim("key", "d", TIMEOUT_MS) == RESULTS[result]

    run(main)
