"""An entry's requests to the control leader for permits of tenants."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from ...core.allowances import FleetSize
from ...core.clock import Clock, Instant, add_ms, remaining_ms
from ...core.errors import ErrorKind
from ...core.tenancy.quota_ledger import Grant
from ...core.tenancy.quota_limits import PERMIT_VALIDITY_MS
from ...core.tenancy.quota_lines import PermitRequest, decode_grant
from ...core.tenancy.quota_shares import Denial, QuotaShares, TenantShare
from ...core.tenancy.tenants import Quota, Tenant
from ...core.token_bucket import TokenBucket
from ...observe.events import EventLog
from ...observe.exposition import BoundedLabel, Metrics
from ...observe.malformed import MalformedItems
from ..feed import Feed
from .outcomes import Permit, Refusal

MAX_WAIT_MS = 150.0
"""How long a request waits for the answer of the leader."""

MAX_DELAY_MS = 100.0
"""A request is delayed instead of refused if a permit is there within this time. After
a change of leader the buckets are empty, and requests within the quota find none."""

RETRY_AFTER_MS = 500.0
"""When a caller may come back whose request reached no leader."""

LINES_PER_S = 10.0
MAX_LINES_AT_ONCE = 10.0
"""How many lines an entry sends; further requests wait and share the next line. A line
takes the leader 0.2 to 0.4 ms, and under overload each request would cause one."""

MAX_TENANT_SERIES = 100
"""How many tenants have metrics of their own."""

RESERVES_PER_STEP = 4
"""How many reserves are divided in one step. Each takes a hash for each entry."""


class _Waiter:
    """A request that waits for an answer.

    ``outcome`` is the end of a permit, a denial, or None if no leader gives either.
    """

    __slots__ = ("tenant", "answered", "outcome", "is_gone")

    def __init__(self, tenant: str) -> None:
        self.tenant = tenant
        self.answered = curio.Event()
        self.outcome: Instant | Denial | None = None
        self.is_gone = False

    async def answer(self, outcome: Instant | Denial | None) -> None:
        self.outcome = outcome
        await self.answered.set()


@dataclass(slots=True)
class _SentRequest:
    """A request for permits that was sent and not answered yet."""

    tenant: str
    n_permits: int
    asked_at: Instant
    waiters: list[_Waiter] = field(default_factory=list)


class QuotaClient:
    """Gets permits from the control leader, or from this entry's share of the reserve.

    ``leader`` returns the feed of the leader, or None if none says that it leads.
    """

    def __init__(
        self,
        shares: QuotaShares,
        leader: Callable[[], Feed | None],
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        malformed: MalformedItems,
    ) -> None:
        self._shares = shares
        self._leader = leader
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._malformed = malformed
        self._tenant_label = BoundedLabel(MAX_TENANT_SERIES)
        self._waiting: dict[str, list[_Waiter]] = {}
        self._has_waiting = curio.Event()
        self._sent: dict[int, _SentRequest] = {}
        self._last_number = 0
        self._silent: Feed | None = None
        """The leader that gave no answer in time; requests no longer wait for it."""

        self._is_lost = False
        self._lines = TokenBucket(
            LINES_PER_S, MAX_LINES_AT_ONCE, clock(), level=MAX_LINES_AT_ONCE
        )

    # Requests

    def denial(self, tenant: Tenant) -> Refusal | None:
        """Return the refusal of a request while a denial of the leader holds."""
        share = self._shares.find(tenant.name)
        denial = None if share is None else share.denial(self._clock())
        return None if denial is None else self._refuse(tenant.name, denial)

    async def acquire(
        self, tenant: Tenant, quota: Quota, deadline: Instant
    ) -> Permit | Refusal:
        """Return a permit for one request, or why there is none."""
        name = tenant.name
        share = self._shares.get(name, quota, self._clock())
        share.count_request(self._clock())
        outcome = await self._request(name, share, deadline)
        if isinstance(outcome, Denial) and self._may_delay(outcome, deadline):
            await curio.sleep(outcome.retry_after_ms / 1000)
            outcome = await self._request(name, share, deadline)
        if isinstance(outcome, Denial):
            return self._refuse(name, outcome)
        # The process may have been frozen while the request waited.
        now = self._clock()
        if outcome is not None and now < outcome:
            self._count(name, "leader")
            return Permit(outcome)
        if share.take_reserve(now):
            self._count(name, "reserve")
            return Permit(add_ms(now, PERMIT_VALIDITY_MS))
        self._count(name, "none")
        return Refusal(ErrorKind.QUOTA_UNKNOWN, RETRY_AFTER_MS)

    def _may_delay(self, denial: Denial, deadline: Instant) -> bool:
        left_ms = remaining_ms(deadline, self._clock())
        return denial.retry_after_ms <= min(MAX_DELAY_MS, left_ms / 2)

    def _refuse(self, tenant: str, denial: Denial) -> Refusal:
        self._count(tenant, "denied")
        return Refusal(ErrorKind.QUOTA_EXCEEDED, denial.retry_after_ms)

    def _count(self, tenant: str, source: str) -> None:
        label = self._tenant_label.get(tenant)
        self._metrics.count("quota_permits_total", tenant=label, source=source)

    async def _request(
        self, tenant: str, share: TenantShare, deadline: Instant
    ) -> Instant | Denial | None:
        """Return the end of a permit, a denial, or None if no leader answers."""
        now = self._clock()
        outcome = share.take(now) or share.denial(now)
        if outcome is not None:
            return outcome
        feed = self._leader()
        if feed is None:
            self._record_lost("none")
            return None
        waiter = _Waiter(tenant)
        self._waiting.setdefault(tenant, []).append(waiter)
        await self._has_waiting.set()
        if feed is self._silent:
            # Asked all the same, since its answer shows that it is back.
            waiter.is_gone = True
            return None
        wait_ms = min(MAX_WAIT_MS, remaining_ms(deadline, now))
        async with curio.ignore_after(wait_ms / 1000):
            await waiter.answered.wait()
        if not waiter.answered.is_set():
            waiter.is_gone = True
            if wait_ms == MAX_WAIT_MS:
                self._silent = feed
                self._record_lost("silent")
        return waiter.outcome

    # Messages

    async def run(self) -> None:
        """Send the requests for permits until cancelled."""
        while True:
            await self._has_waiting.wait()
            while not self._lines.try_acquire(1.0, self._clock()):
                missing = 1.0 - self._lines.level(self._clock())
                await curio.sleep(missing / LINES_PER_S)
            self._has_waiting.clear()
            feed = self._leader()
            if feed is None:
                await self._release_waiting()
                continue
            items = self._begin_requests()
            if not items:
                continue
            try:
                await feed.send({"quota": items})
            except (OSError, curio.TaskTimeout):
                # The task that reads the feed detects a broken connection.
                await self._release_sent([item[0] for item in items])

    def _begin_requests(self) -> list[list[Any]]:
        """Return the members of a line for everything that waits."""
        now = self._clock()
        self._forget_expired(now)
        waiting, self._waiting = self._waiting, {}
        items = []
        for tenant, waiters in waiting.items():
            share = self._shares.find(tenant)
            if share is None:
                continue
            n_permits = share.n_to_ask(len(waiters), now)
            self._last_number += 1
            request = PermitRequest(self._last_number, tenant, n_permits)
            self._sent[request.number] = _SentRequest(tenant, n_permits, now, waiters)
            items.append(request.encode())
        return items

    def _forget_expired(self, now: Instant) -> None:
        """Forget requests whose permits would no longer be valid."""
        for number, sent in list(self._sent.items()):
            if now < add_ms(sent.asked_at, PERMIT_VALIDITY_MS):
                return
            del self._sent[number]

    async def _release_waiting(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for waiters in waiting.values():
            for waiter in waiters:
                await waiter.answer(None)

    async def _release_sent(self, numbers: list[int]) -> None:
        for number in numbers:
            sent = self._sent.pop(number, None)
            for waiter in () if sent is None else sent.waiters:
                await waiter.answer(None)

    async def apply_answers(self, items: Any) -> None:
        """Apply the answers in one line of a replica."""
        for number, grant in self._malformed.decode_each(
            "granted", items, decode_grant
        ):
            sent = self._sent.pop(number, None)
            if sent is not None:
                await self._apply_answer(sent, grant)

    async def _apply_answer(self, sent: _SentRequest, grant: Grant) -> None:
        now = self._clock()
        self._metrics.observe("quota_round_trip_ms", now - sent.asked_at)
        waiters = deque(w for w in sent.waiters if not w.is_gone)
        share = self._shares.find(sent.tenant)
        is_granting = grant.n_granted > 0 or grant.retry_after_ms > 0
        self._record_answer(is_granting)
        if share is None or not is_granting:
            for waiter in waiters:
                await waiter.answer(None)
            return
        grant = Grant(min(grant.n_granted, sent.n_permits), grant.retry_after_ms)
        denials = share.apply_grant(grant, len(waiters), sent.asked_at, now)
        while len(waiters) > len(denials):
            await waiters.popleft().answer(share.take(now))
        for denial in denials:
            await waiters.popleft().answer(denial)

    # The leader

    def _record_answer(self, is_granting: bool) -> None:
        self._silent = None
        if not is_granting:
            self._record_lost("not_granting")
        elif self._is_lost:
            self._is_lost = False
            self._log.state("quota_leader_regained")

    def _record_lost(self, reason: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log.state("quota_leader_lost", reason=reason)

    # The reserve

    async def update_reserve(
        self, tenants: list[Tenant], fleet: FleetSize, entry_ids: frozenset[str]
    ) -> None:
        """Divide the reserve of each tenant with a quota anew."""
        self._shares.retain({t.name for t in tenants if t.quota is not None})
        for number, tenant in enumerate(tenants):
            if tenant.quota is not None:
                self._shares.update_reserve(
                    tenant.name, tenant.quota, fleet, entry_ids, self._clock()
                )
            if number % RESERVES_PER_STEP == 0:
                await curio.sleep(0)
