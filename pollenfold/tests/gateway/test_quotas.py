"""Quotas of tenants at an entry: which requests are sent, and what refusals say."""

import json
from dataclasses import replace
from types import SimpleNamespace

import curio
import pytest

from pollenfold.core.allowances import FleetSize
from pollenfold.core.clock import add_ms
from pollenfold.core.errors import ErrorKind
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.core.tenancy.quota_shares import QuotaShares
from pollenfold.core.tenancy.tenants import Quota, Tenant, TenantDirectory
from pollenfold.gateway.quotas.client import (
    LINES_PER_S,
    MAX_LINES_AT_ONCE,
    MAX_WAIT_MS,
    QuotaClient,
)
from pollenfold.gateway.quotas.outcomes import Permit, Refusal
from pollenfold.http.messages import Request, find_header
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.exposition import Metrics
from pollenfold.observe.malformed import MalformedItems
from pollenfold.tests.gateway.conftest import Backend, signed_response
from pollenfold.tests.gateway.test_cut_entry import cut_entry

REFUSAL = (
    b"HTTP/1.1 503 X\r\nx-not-executed: 1\r\nx-request-id: q1\r\n"
    b"content-length: 0\r\n\r\n"
)
TENANT = Tenant("blue", quota=Quota(100.0, 10.0))


class FakeLeader:
    """The feed of a leader that grants ``n_permits`` in all, or answers nothing.

    ``asked`` has the number of permits of each request for some.
    """

    def __init__(self, n_permits=0, retry_after_ms=250.0, is_silent=False):
        self.n_permits = n_permits
        self.retry_after_ms = retry_after_ms
        self.is_silent = is_silent
        self.asked = []
        self.n_lines = 0
        self.apply = None

    async def send(self, line):
        self.n_lines += 1
        granted = []
        for number, tenant, n_permits in line["quota"]:
            assert tenant == "blue"
            self.asked.append(n_permits)
            n_granted = min(n_permits, self.n_permits)
            self.n_permits -= n_granted
            after_ms = 0.0 if n_granted == n_permits else self.retry_after_ms
            granted.append([number, n_granted, after_ms])
        if not self.is_silent:
            await self.apply(json.loads(json.dumps(granted)))


def set_quota(path, leader, tenant=TENANT):
    """Give the path a configuration with one tenant, and a leader."""
    directory = TenantDirectory(b"s" * 32)
    directory.add(tenant, ["k"])
    path.view.configuration = replace(path.view.configuration, tenants=directory)
    path.leader = leader
    if leader is not None:
        leader.apply = path.quotas.apply_answers


async def get(path, method=b"GET"):
    headers = [
        (b"host", b"h.example"),
        (b"x-request-id", b"q1"),
        (b"x-credential", b"k"),
    ]
    return await path.forwarder.handle(Request(method, b"/x/1", headers, b""))


def after_s(response):
    return float(find_header(response.headers, b"retry-after"))


def test_one_permit_for_each_request(with_path):
    """Guards against a request without a permit, and one that takes two."""

    async def body(path, backend):
        leader = FakeLeader(n_permits=3)
        set_quota(path, leader)
        statuses = [(await get(path)).status for _ in range(4)]
        assert statuses == [200, 200, 200, 429]
        assert leader.asked == [1, 1, 1, 1]
        assert len(backend.requests) == 3

    with_path(body, Backend("one"))


def test_denied_request_is_told_when_to_come_back(with_path):
    """Guards against a Retry-After that differs from the leader's, and against an ask
    for each request while a denial holds."""

    async def body(path, backend):
        leader = FakeLeader(retry_after_ms=1_250.0)
        set_quota(path, leader)
        responses = [await get(path) for _ in range(3)]
        assert [r.status for r in responses] == [429] * 3
        assert after_s(responses[0]) == 1.25
        assert 1.2 <= after_s(responses[1]) <= 1.26
        assert after_s(responses[1]) < after_s(responses[2])
        run_state = find_header(responses[0].headers, b"pollenfold-run-state")
        assert run_state == b"did_not_run"
        assert json.loads(responses[0].body)["error"] == "quota_exceeded"
        assert len(leader.asked) == 1
        assert backend.requests == []

    with_path(body, Backend("one"))


def test_request_waits_for_a_permit_that_comes_soon(with_path):
    """Guards against refusals within the quota while a bucket begins empty."""

    async def body(path, backend):
        leader = FakeLeader(retry_after_ms=30.0)
        set_quota(path, leader)
        task = await curio.spawn(get, path)
        await curio.sleep(0.01)
        leader.n_permits = 1
        assert (await task.join()).status == 200
        assert len(leader.asked) == 2

    with_path(body, Backend("one"))


def test_tenant_without_a_quota_asks_nothing(with_path):
    """Guards against a round trip for requests that aren't limited."""

    async def body(path, backend):
        leader = FakeLeader()
        set_quota(path, leader, Tenant("blue"))
        assert (await get(path)).status == 200
        assert leader.asked == []

    with_path(body, Backend("one"))


def test_without_a_leader_the_reserve_is_used_and_no_more(with_path):
    """Guards against requests beyond the entry's share while no replica leads."""

    async def body(path, backend):
        set_quota(path, None)
        response = await get(path)
        assert response.status == 503
        assert json.loads(response.body)["error"] == "quota_unknown"
        assert after_s(response) == 0.5
        share = path.quotas._client._shares.find("blue")
        long_ago = add_ms(system_clock(), -20_000.0)
        fleet = FleetSize()
        for at in (long_ago, add_ms(long_ago, 10_000.0)):
            fleet.report(8, at)
            share.update_reserve("blue", "e1", fleet, frozenset({"e1"}), at)
        n_share = share._settled.get(system_clock())
        assert n_share > 0
        statuses = [(await get(path)).status for _ in range(n_share + 2)]
        assert statuses == [200] * n_share + [503] * 2

    with_path(body, Backend("one"))


def test_request_waits_for_a_silent_leader_only_once(with_path):
    """Guards against all requests that wait for a frozen leader, and against an entry
    that doesn't notice when it answers again."""

    async def body(path, backend):
        leader = FakeLeader(n_permits=5, is_silent=True)
        set_quota(path, leader)
        started_at = system_clock()
        assert (await get(path)).status == 503
        waited_ms = system_clock() - started_at
        assert waited_ms >= MAX_WAIT_MS
        started_at = system_clock()
        assert (await get(path)).status == 503
        assert system_clock() - started_at < waited_ms
        leader.is_silent = False
        await get(path)
        assert (await get(path)).status == 200
        path.log.flush()
        events = [line.split("event=")[1].split()[0] for line in path.lines]
        assert events.count("quota_leader_lost") == 1
        assert events.count("quota_leader_regained") == 1

    with_path(body, Backend("one"))


def test_replica_that_grants_nothing_isnt_waited_for(with_path):
    """Guards against a wait for a replica that says it doesn't lead."""

    async def body(path, backend):
        set_quota(path, FakeLeader(retry_after_ms=0.0))
        started_at = system_clock()
        assert (await get(path)).status == 503
        assert system_clock() - started_at < MAX_WAIT_MS

    with_path(body, Backend("one"))


def test_request_refused_for_lack_of_capacity_costs_no_permit(with_path):
    """Guards against quotas that are used up by requests that never ran."""

    async def body(path):
        leader = FakeLeader(n_permits=5)
        set_quota(path, leader)
        assert (await get(path)).status == 503
        assert leader.asked == []

    with_path(body)


@pytest.mark.parametrize(
    ("respond", "n_asked"),
    [(lambda _: REFUSAL, 1), (lambda _: signed_response(500), 2)],
)
def test_each_run_has_a_permit(with_path, respond, n_asked):
    """Guards against more runs than permits, and permits for requests not executed."""

    async def body(path, *backends):
        for backend in backends:
            backend.respond = respond
        leader = FakeLeader(n_permits=5)
        set_quota(path, leader)
        assert (await get(path)).status >= 500
        assert sum(len(b.requests) for b in backends) == 2
        assert len(leader.asked) == n_asked

    with_path(body, Backend("one"), Backend("two"))


def test_second_attempt_beside_the_first_needs_a_permit(with_path):
    """Guards against hedges that run without a permit."""

    async def body(path, backend):
        set_quota(path, FakeLeader(n_permits=1, retry_after_ms=5_000.0))
        tenant = path.view.configuration.tenants.by_name["blue"]
        call = SimpleNamespace(tenant=tenant, deadline=add_ms(system_clock(), 1_000.0))
        assert await path.quotas.acquire_another(call)
        assert not await path.quotas.acquire_another(call)

    with_path(body, Backend("one"))


def test_denied_retry_doesnt_claim_that_nothing_ran(with_path):
    """Guards against 429 for a request that an endpoint may have executed."""

    async def body(path, *backends):
        for backend in backends:
            backend.respond = lambda request: None
        set_quota(path, FakeLeader(n_permits=1))
        response = await get(path)
        assert response.status == 502
        assert sum(len(b.requests) for b in backends) == 1

    with_path(body, Backend("one"), Backend("two"))


# The client alone


class JumpingClock:
    """The clock of a process that may be frozen."""

    def __init__(self):
        self.frozen_ms = 0.0

    def __call__(self):
        return add_ms(system_clock(), self.frozen_ms)


def make_client(leader, clock):
    log = EventLog("e1", clock, write=len)
    metrics = Metrics()
    malformed = MalformedItems(clock, log)
    client = QuotaClient(
        QuotaShares(QuotaLimits(), "e1"), lambda: leader, clock, log, metrics, malformed
    )
    leader.apply = client.apply_answers
    return client, metrics, malformed


async def acquire(client):
    deadline = add_ms(system_clock(), 60_000.0)
    return await client.acquire(TENANT, TENANT.quota, deadline)


def test_requests_that_wait_together_share_a_line(run):
    """Load: 30 requests at once at one entry.

    Guards against a message for each of them.
    """

    async def main():
        leader = FakeLeader(n_permits=20, retry_after_ms=5_000.0)
        client, metrics, _ = make_client(leader, system_clock)
        await curio.spawn(client.run, daemon=True)
        tasks = [await curio.spawn(acquire, client) for _ in range(30)]
        outcomes = [await task.join() for task in tasks]
        assert sum(isinstance(o, Permit) for o in outcomes) == 20
        refusals = [o for o in outcomes if isinstance(o, Refusal)]
        assert {o.kind for o in refusals} == {ErrorKind.QUOTA_EXCEEDED}
        assert len(leader.asked) <= 3
        assert metrics.get("quota_permits_total", tenant="blue", source="denied") == 10

    run(main)


def test_overloaded_entry_sends_few_lines(run):
    """Load: a request every 5 ms at one entry, each with a permit.

    Guards against a leader that is overloaded by the requests of all entries.
    """

    async def main():
        leader = FakeLeader(n_permits=10_000)
        client, _, _ = make_client(leader, system_clock)
        share = client._shares.get("blue", TENANT.quota, system_clock())
        # It asks for no permits ahead, as after a denial.
        share._denied_at = add_ms(system_clock(), 10_000.0)
        await curio.spawn(client.run, daemon=True)
        started_at = system_clock()
        tasks = []
        for _ in range(150):
            tasks.append(await curio.spawn(acquire, client))
            await curio.sleep(0.005)
        outcomes = [await task.join() for task in tasks]
        assert all(isinstance(o, Permit) for o in outcomes)
        elapsed_s = (system_clock() - started_at) / 1000
        assert leader.n_lines <= MAX_LINES_AT_ONCE + LINES_PER_S * elapsed_s + 1

    run(main)


def test_frozen_entry_sends_nothing_on_permits_of_before(run):
    """Guards against a permit that is used after its time by a process that wakes."""

    async def main():
        clock = JumpingClock()
        leader = FakeLeader(n_permits=5)
        client, _, _ = make_client(leader, clock)
        await curio.spawn(client.run, daemon=True)
        send = leader.send

        async def send_after_freeze(line):
            clock.frozen_ms += 400.0
            await send(line)

        leader.send = send_after_freeze
        outcome = await acquire(client)
        assert outcome.kind is ErrorKind.QUOTA_UNKNOWN

    run(main)


def test_malformed_answers_are_counted(run):
    """Guards against an answer that ends the feed of an entry."""

    async def main():
        client, _, malformed = make_client(FakeLeader(), system_clock)
        for items in (7, [[1]], [[1, -1, 0.0]], [[1, 1, "x"]], [[1, 1, float("nan")]]):
            await client.apply_answers(items)
        assert malformed.n_by_kind == {"granted": 5}

    run(main)


# Requests that are relayed to a peer


def test_relayed_request_takes_its_permit_at_the_peer(run):
    """Guards against two permits for one request, and against a denial of the peer that
    reaches the caller as another refusal or without its time."""

    async def main():
        backends, (passing, reaching), _ = await cut_entry()
        n_before = sum(len(backend.requests) for backend in backends)
        leader = FakeLeader(n_permits=1, retry_after_ms=1_250.0)
        set_quota(passing, None)
        set_quota(reaching, leader)
        assert (await get(passing)).status == 200
        response = await get(passing)
        assert response.status == 429
        assert 1.2 <= after_s(response) <= 1.25
        run_state = find_header(response.headers, b"pollenfold-run-state")
        assert run_state == b"did_not_run"
        assert leader.asked == [1, 1]
        assert sum(len(backend.requests) for backend in backends) == n_before + 1

    run(main)
