"""Entries that start while the replica that they reach lacks the last changes."""

import random

import curio

from pollenfold.core.link import Link
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.gateway.balancer import Balancer
from pollenfold.gateway.forward import Forwarder
from pollenfold.gateway.quotas.gate import QuotaGate
from pollenfold.gateway.reach_monitor import ReachMonitor
from pollenfold.gateway.relay.client import RelayClient
from pollenfold.gateway.settings import BalancerSettings
from pollenfold.http.messages import Request
from pollenfold.observe.clock import system_clock
from pollenfold.observe.exposition import Metrics
from pollenfold.platform.headers import DIALECT
from pollenfold.tests.control.test_cluster import entry_view, wait_until
from pollenfold.tests.gateway.conftest import settled_retry_budget
from pollenfold.tests.platform.test_documents import CONFIGURATION, ROUTE
from pollenfold.wire.frames import Protocol

NEW_ROUTE = {**ROUTE, "name": "new", "pathPrefix": "/new/"}
NEWER = {
    **CONFIGURATION,
    "version": 8,
    "hosts": [{"host": "a.example", "paths": [ROUTE, NEW_ROUTE]}],
}


def make_forwarder(view):
    clock, metrics, link, rng = system_clock, Metrics(), Link(), random.Random(7)
    settings = BalancerSettings("e1", "a", 1000.0, 1.5, 5.0, clock())
    log = view._log
    client = RelayClient(DIALECT, view, 0, "", clock, log, metrics, rng, link)
    monitor = ReachMonitor(view, DIALECT, "a", client, clock, log, metrics, rng, link)
    balancer = Balancer(
        view, DIALECT, settings, clock, metrics, rng, link, monitor, log
    )
    budget = settled_retry_budget(view, "e1")
    return Forwarder(
        view,
        balancer,
        DIALECT,
        budget,
        clock,
        log,
        metrics,
        rng,
        link,
        monitor,
        client,
        QuotaGate(QuotaLimits(), "e1", lambda: None, view, clock, log, metrics),
    )


def cut_off(node):
    """Cut a replica off from the others; entries still reach it."""

    async def drop(message):
        return b""

    node.rpc._handlers[Protocol.AGREEMENT] = drop
    node.replica._calls.send = drop


async def status_of(view, path):
    headers = [
        (b"host", b"a.example"),
        (b"x-request-id", b"q1"),
        (b"x-deadline-ms", b"300"),
    ]
    response = await make_forwarder(view).handle(Request(b"GET", path, headers, b""))
    return response.status


def test_entry_beside_a_replica_that_is_behind_denies_no_route(with_cluster):
    """Guards against 404 for a route that every entry served before it restarted, from
    a process that took the first replica it reached for up to date."""

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        behind = next(k for k in cluster.running if k != cluster.leader())
        node = cluster.running[behind].node
        await wait_until(lambda: node.cluster_state.replicated_state.version == 7)
        cut_off(node)
        others = [number for number in cluster.running if number != behind]
        assert (await cluster.call(others[0], b"PUT", "/-/config", NEWER)).status == 200
        for number in others:
            await cluster.stop(number)
        cluster.seeds = [f"127.0.0.{behind}"]
        view, _ = await entry_view(cluster)
        await wait_until(lambda: view.configuration is not None)
        # The replica alone is no majority, so nothing confirms what it holds.
        await curio.sleep(0.5)
        assert await status_of(view, b"/new/1") == 503
        # Once a majority is back, the entry learns the newer configuration, and says
        # which routes don't exist.
        cluster.seeds = [f"127.0.0.{number}" for number in (1, 2, 3)]
        for number in others:
            await cluster.start(number)
        await wait_until(lambda: view.configuration.version == 8)
        async with curio.timeout_after(5):
            while await status_of(view, b"/none/1") != 404:
                await curio.sleep(0.02)

    with_cluster(body)


def test_no_route_is_denied_after_a_change_must_be_in_force(with_cluster):
    """Guards against 404 on the word of a confirmation that is older than the change,
    while the lines of the feeds wait behind other bytes on a full link."""
    apply_ms = 2_000.0

    async def body(cluster):
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        view, task = await entry_view(cluster)
        await wait_until(view.is_state_current)
        n_confirmed = len(view.confirmations._confirmed)
        await wait_until(lambda: len(view.confirmations._confirmed) > n_confirmed)
        await task.cancel()
        view.apply_replicated_state = lambda *args: False
        announced_index = view.announced_index
        assert (await cluster.call(1, b"PUT", "/-/config", NEWER)).status == 200
        acknowledged_at = system_clock()
        while (sent_ms := system_clock() - acknowledged_at) < apply_ms + 1_000.0:
            view.announced_index = announced_index
            status = await status_of(view, b"/new/1")
            assert sent_ms < apply_ms or status == 503
            await curio.sleep(0.05)

    with_cluster(body)
