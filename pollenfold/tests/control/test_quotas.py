"""Permits for the requests of tenants from real control replicas."""

import time

import curio

from pollenfold.core.clock import add_ms
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.core.tenancy.tenants import Quota
from pollenfold.gateway.feeds import FeedIdentity, Feeds
from pollenfold.gateway.quotas.gate import QuotaGate
from pollenfold.gateway.quotas.outcomes import Permit
from pollenfold.gateway.view import FleetView
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.platform.documents import configuration_decoder
from pollenfold.tests.control.test_cluster import wait_until
from pollenfold.tests.control.test_stale_start import cut_off
from pollenfold.tests.platform.test_documents import CONFIGURATION

BLUE = {"name": "blue", "apiKeys": ["k-blue-1"], "ratePerS": 100, "burst": 40}
GREEN = {"name": "green", "apiKeys": ["k-green-1"]}
WITH_TENANTS = {**CONFIGURATION, "tenants": [BLUE, GREEN]}


class Entry:
    """The part of an entry that gets permits, with its feeds."""

    def __init__(self, cluster, name="e1"):
        clock, self.metrics = system_clock, Metrics()
        log = EventLog(name, clock, write=len)
        self.view = FleetView(configuration_decoder(), clock, log)
        self.feeds = Feeds(
            FeedIdentity(name, "a"),
            self.view,
            lambda: cluster.seeds,
            cluster.feed_port,
            clock,
            log,
        )
        self.gate = QuotaGate(
            QuotaLimits(),
            name,
            lambda: self.feeds.leader,
            self.view,
            clock,
            log,
            self.metrics,
        )
        self.feeds.add_part("granted", self.gate.apply_answers)

    async def start(self):
        await curio.spawn(self.feeds.run, daemon=True)
        await curio.spawn(self.gate.run, daemon=True)
        await wait_until(lambda: self.view.configuration and self.feeds.leader)
        self.client = await self.gate._start_client()

    async def acquire(self):
        tenant = self.view.configuration.tenants.by_name["blue"]
        deadline = add_ms(system_clock(), 5_000.0)
        return await self.client.acquire(tenant, tenant.quota, deadline)

    async def acquire_until_granted(self, timeout_s=10.0):
        async with curio.timeout_after(timeout_s):
            while not isinstance(await self.acquire(), Permit):
                await curio.sleep(0.01)


async def with_quotas(cluster, document=WITH_TENANTS):
    """Put the quotas in force and return an entry that uses them."""
    assert (await cluster.call(1, b"PUT", "/-/config", document)).status == 200
    entry = Entry(cluster)
    await entry.start()
    await entry.acquire_until_granted()
    return entry


def servers(cluster):
    return [running.node.quota_server for running in cluster.running.values()]


def test_leader_grants_the_quota_to_an_entry(with_cluster):
    """Guards against replicas that decode no quotas or grant more than they are."""

    async def body(cluster):
        entry = await with_quotas(cluster)
        started_at = system_clock()
        n_granted = 0
        while system_clock() < add_ms(started_at, 500.0):
            n_granted += isinstance(await entry.acquire(), Permit)
        elapsed_ms = system_clock() - started_at
        assert 20 <= n_granted <= 40 + 100 * (elapsed_ms + 300.0) / 1000
        leader = cluster.running[cluster.leader()].node
        assert leader.metrics.get("quota_granted_total", tenant="blue") >= n_granted

    with_cluster(body)


def test_two_leaders_never_grant_at_the_same_time(with_cluster):
    """Guards against a leader that was cut off and grants beside the next one."""

    async def body(cluster):
        entry = await with_quotas(cluster)
        former = cluster.leader()
        cut_off(cluster.running[former].node)
        cut_at, last_by_former, first_by_next = system_clock(), None, None
        async with curio.timeout_after(10):
            while first_by_next is None:
                await curio.sleep(0.002)
                for number, running in cluster.running.items():
                    starts_at = running.node.replica.acts_alone_from()
                    now = system_clock()
                    if starts_at is None or now < starts_at:
                        continue
                    if number == former:
                        last_by_former = now
                    else:
                        first_by_next = now
        assert last_by_former is not None
        assert last_by_former <= add_ms(cut_at, 400.0)
        assert last_by_former < first_by_next
        await entry.acquire_until_granted()

    with_cluster(body)


def test_frozen_leader_grants_nothing_when_it_wakes(with_cluster):
    """Guards against a leader that takes its lease from before a freeze for valid."""

    class FakeSubscriber:
        def __init__(self):
            self.lines = []

    async def body(cluster):
        await with_quotas(cluster)
        node = cluster.running[cluster.leader()].node
        answers = []
        node.feed_server.send = lambda subscriber, line: answers.append(line)
        node.quota_server.answer(FakeSubscriber(), [[1, "blue", 1]])
        # All replicas of the test share one process, so this freezes the others too.
        time.sleep(0.45)
        node.quota_server.answer(FakeSubscriber(), [[2, "blue", 1], [3, "green", 1]])
        assert answers == [
            {"granted": [[1, 1, 0.0]]},
            {"granted": [[2, 0, 0.0], [3, 0, 0.0]]},
        ]

    with_cluster(body)


def test_lower_quota_is_in_force_within_the_time_for_changes(with_cluster):
    """Guards against a leader that keeps the quotas of a former configuration."""

    async def body(cluster):
        await with_quotas(cluster)
        lower = {**BLUE, "ratePerS": 1, "burst": 1}
        document = {**WITH_TENANTS, "version": 8, "tenants": [lower, GREEN]}
        assert (await cluster.call(2, b"PUT", "/-/config", document)).status == 200

        def is_lower(server):
            return server._ledger.quotas.get("blue") == Quota(1.0, 1.0)

        await wait_until(lambda: all(map(is_lower, servers(cluster))), 2.0)

    with_cluster(body)


def test_configuration_without_tenants_is_not_decoded(with_cluster):
    """Guards against work in deployments without quotas."""

    async def body(cluster):
        def fail(document):
            raise AssertionError("expected no decoding")

        for server in servers(cluster):
            server._decode = fail
        await cluster.call(1, b"PUT", "/-/config", CONFIGURATION)
        await wait_until(lambda: all(s._applied_version == 7 for s in servers(cluster)))

    with_cluster(body)


def test_malformed_requests_are_counted_and_others_answered(with_cluster):
    """Guards against a line of an entry that ends its feed or the leader."""

    async def body(cluster):
        entry = await with_quotas(cluster)
        malformed = [7, [1], [1, 2, 3], [1, "blue", 0], [-1, "blue", 1], [1, "b", 1e9]]
        for items in (malformed, 7, {"a": 1}):
            await entry.feeds.leader.send({"quota": items})
        await entry.acquire_until_granted()
        node = cluster.running[cluster.leader()].node
        counts = node.cluster_state.malformed.n_by_kind
        assert counts["quota"] == len(malformed) + 2

    with_cluster(body)
