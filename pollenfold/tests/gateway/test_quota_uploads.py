"""Long uploads of a tenant with a quota."""

import curio

from pollenfold.core.clock import add_ms
from pollenfold.core.tenancy.quota_ledger import QuotaLedger
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.core.tenancy.tenants import Quota, Tenant
from pollenfold.http.messages import Request
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.test_long_bodies import LongBackend
from pollenfold.tests.gateway.test_quotas import set_quota


class LedgerLeader:
    """The feed of a leader with the buckets of one tenant."""

    def __init__(self, limits, quota):
        self.ledger = QuotaLedger(limits)
        self.ledger.start(add_ms(system_clock(), -60_000.0))
        self.ledger.apply_quotas({"blue": quota}, system_clock())

    async def send(self, line):
        now = system_clock()
        granted = []
        for number, tenant, n_permits in line["quota"]:
            grant = self.ledger.grant(tenant, n_permits, now)
            granted.append([number, grant.n_granted, grant.retry_after_ms])
        await self.apply(granted)


class CountingBackend(LongBackend):
    """Records when the last byte of each body arrived: a request runs from then on."""

    def __init__(self, name):
        super().__init__(name)
        self.complete_at = []

    async def _read_body(self, client, data):
        await super()._read_body(_Recorder(client, self.complete_at), data)


class _Recorder:
    def __init__(self, client, complete_at):
        self._client = client
        self._complete_at = complete_at

    async def recv(self, n):
        return await self._client.recv(n)

    async def sendall(self, data):
        self._complete_at.append(system_clock())
        await self._client.sendall(data)


def test_slow_uploads_that_end_together_stay_within_the_quota(with_path):
    """Load: a tenant uploads long bodies slowly, each within the quota when it begins,
    and ends all of them at the same moment. Guards against more runs in a window than
    the quota permits, since an endpoint runs a request once it has all of it."""
    quota = Quota(20.0, 1.0)
    limits = QuotaLimits(window_ms=1_000.0, overage=0.1, slack=5.0)

    async def body(path, backend):
        set_quota(path, LedgerLeader(limits, quota), Tenant("blue", quota=quota))
        ends_at = add_ms(system_clock(), 4_000.0)

        async def upload():
            pieces = [b"y" * 1_000, b""]

            async def read():
                if len(pieces) == 2:
                    await curio.sleep(max(0.0, ends_at - system_clock()) / 1000)
                return pieces.pop(0)

            headers = [
                (b"host", b"h.example"),
                (b"x-request-id", b"q1"),
                (b"x-credential", b"k"),
                (b"transfer-encoding", b"chunked"),
            ]
            request = Request(
                b"POST", b"/x/1", headers, b"x" * 1_000, read_remaining_body=read
            )
            return (await path.forwarder.handle(request)).status

        tasks = []
        while system_clock() < add_ms(ends_at, -200.0):
            tasks.append(await curio.spawn(upload))
            await curio.sleep(0.06)
        statuses = [await task.join() for task in tasks]
        first = min(backend.complete_at)
        n_runs = sum(t < add_ms(first, limits.window_ms) for t in backend.complete_at)
        assert statuses.count(200) <= len(backend.complete_at)
        assert n_runs <= limits.total(quota)

    with_path(
        body, CountingBackend("one"), timeout_ms=6_000.0, target_latency_ms=6_000.0
    )
