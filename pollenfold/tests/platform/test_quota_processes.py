"""Quotas of a tenant through real control and entry processes."""

import curio
import pytest

from benchmarks.soak import CALLER_PORT, exchange
from pollenfold.http.messages import find_header
from pollenfold.observe.clock import system_clock
from pollenfold.tests.platform import test_peer_processes
from pollenfold.tests.platform.test_peer_processes import start, system

__all__ = ["system"]

RATE_PER_S, BURST = 20.0, 10.0
TENANT = {"name": "t", "apiKeys": ["k"], "ratePerS": RATE_PER_S, "burst": BURST}


@pytest.fixture(autouse=True)
def own_network(monkeypatch):
    """Use other loopback addresses than the tests of the module with the system."""
    monkeypatch.setattr(test_peer_processes, "NETWORK_SEED", 191)


async def set_tenants(system, *tenants):
    document = system.configuration_document
    system.configuration_document = lambda version: {
        **document(version),
        "tenants": list(tenants),
    }
    await system.put_configuration()


async def call(entry, number, key=b"k"):
    headers = [
        (b"host", b"h.example"),
        (b"x-request-id", b"q%d" % number),
        (b"x-credential", key),
    ]
    return await exchange(entry.host, CALLER_PORT, b"GET", "/safe/1", headers, b"", 2.0)


def test_entries_share_the_quota_of_a_tenant(system):
    """Load: about 100 requests a second at two entries, of 20 a second allowed.

    Guards against roles that don't agree on the lines or the settings, and against
    callers that come back when they were told and are refused.
    """

    async def main():
        await start(system)
        await set_tenants(system, TENANT, {"name": "free", "apiKeys": ["f"]})
        async with curio.timeout_after(5):
            while (await call(system.entries[1], 0)).status != 200:
                await curio.sleep(0.05)
        started_at = system_clock()
        tasks = []
        while system_clock() < started_at + 3_000.0:
            number = len(tasks) + 1
            entry = system.entries[number % 2]
            tasks.append(await curio.spawn(call, entry, number))
            await curio.sleep(0.01)
        responses = [await task.join() for task in tasks]
        elapsed_s = (system_clock() - started_at) / 1000
        statuses = [response.status for response in responses]
        assert set(statuses) == {200, 429}
        n_allowed = (RATE_PER_S * elapsed_s + BURST) * 1.1 + 20
        assert 0.8 * RATE_PER_S * elapsed_s <= statuses.count(200) <= n_allowed
        refusals = [response for response in responses if response.status == 429]
        assert all(float(find_header(r.headers, b"retry-after")) for r in refusals)
        assert (await call(system.entries[0], 10_001, b"f")).status == 200
        await curio.sleep(float(find_header(refusals[-1].headers, b"retry-after")))
        assert (await call(system.entries[0], 10_002)).status == 200

    curio.run(main)
