"""Entries and successive leaders that exchange permits on one simulated clock."""

import heapq
import itertools
import random
from dataclasses import dataclass

from pollenfold.core.allowances import FleetSize
from pollenfold.core.clock import ManualClock
from pollenfold.core.tenancy.quota_ledger import QuotaLedger
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.core.tenancy.quota_shares import QuotaShares
from pollenfold.core.token_bucket import TokenBucket
from pollenfold.gateway.quotas.client import (
    LINES_PER_S,
    MAX_DELAY_MS,
    MAX_LINES_AT_ONCE,
    MAX_WAIT_MS,
)

LATENCY_MS = 2.0
LIMITS = QuotaLimits()


@dataclass(eq=False)
class Waiter:
    """A request that needs a permit; ``is_later`` if its caller was denied before."""

    tenant: str
    is_later: bool = False
    is_delayed: bool = False
    is_done: bool = False


class SimulatedEntry:
    """One entry; a restart gives it new shares, and a frozen one acts at its end."""

    def __init__(self, name):
        self.name = name
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.restart()

    def restart(self):
        self.shares = QuotaShares(LIMITS, self.name)
        self.lines = TokenBucket(
            LINES_PER_S, MAX_LINES_AT_ONCE, 0.0, level=MAX_LINES_AT_ONCE
        )
        self.waiting = {}
        self.is_sending = False


class Simulation:
    """Requests of tenants at random entries, with their permits.

    ``runs`` has the time of each request that was sent, by tenant, and ``n_offered``
    and ``n_denied`` count. Callers that are denied come back once, at any entry, if
    ``comes_back``; ``n_served_later`` and ``n_refused_later`` are their outcomes.
    """

    def __init__(self, n_entries, quotas, seed=1, comes_back=False):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.quotas = dict(quotas)
        self.entries = [SimulatedEntry(f"e{k}") for k in range(n_entries)]
        self.ids = frozenset(e.name for e in self.entries)
        self.fleet = FleetSize()
        self.ledger = QuotaLedger(LIMITS)
        self.ledger.apply_quotas(quotas, self.clock())
        self.ledger.start(self.clock())
        self.acts_until = float("inf")
        self.comes_back = comes_back
        self.runs = {tenant: [] for tenant in quotas}
        self.n_offered = dict.fromkeys(quotas, 0)
        self.n_denied = dict.fromkeys(quotas, 0)
        self.n_messages = self.n_served_later = self.n_refused_later = 0
        self._events = []
        self._order = itertools.count()
        self.at(0.0, self._update_reserves)

    def at(self, time_ms, function, *args):
        heapq.heappush(self._events, (time_ms, next(self._order), function, args))

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, function, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, time_ms - self.clock()))
            function(*args)
        self.clock.advance(until_ms - self.clock())

    # Load

    def load(self, tenant, rate_per_s, until_ms, from_ms=0.0):
        """Offer requests at random times at random entries."""
        next_ms = from_ms + self.rng.expovariate(rate_per_s / 1000)
        if next_ms < until_ms:
            self.at(next_ms, self._arrive, tenant)
            self.at(next_ms, self.load, tenant, rate_per_s, until_ms, next_ms)

    def _arrive(self, tenant):
        self.n_offered[tenant] += 1
        self._request(self.rng.choice(self.entries), Waiter(tenant))

    def _request(self, entry, waiter):
        now, tenant = self.clock(), waiter.tenant
        if now < entry.frozen_until:
            self.at(entry.frozen_until, self._request, entry, waiter)
            return
        share = entry.shares.get(tenant, self.quotas[tenant], now)
        if not waiter.is_delayed:
            share.count_request(now)
        if share.take(now) is not None:
            self._send(waiter)
        elif (denial := share.denial(now)) is not None:
            self._deny(entry, waiter, denial)
        else:
            entry.waiting.setdefault(tenant, []).append(waiter)
            self.at(now + MAX_WAIT_MS, self._give_up, entry, share, waiter)
            if not entry.is_sending:
                entry.is_sending = True
                missing = max(0.0, 1.0 - entry.lines.level(now))
                self.at(now + 1000 * missing / LINES_PER_S, self._send_line, entry)

    def _send(self, waiter):
        self.runs[waiter.tenant].append(self.clock())
        self.n_served_later += waiter.is_later

    def _deny(self, entry, waiter, denial):
        now = self.clock()
        if denial.retry_after_ms <= MAX_DELAY_MS and not waiter.is_delayed:
            delayed = Waiter(waiter.tenant, waiter.is_later, is_delayed=True)
            self.at(now + denial.retry_after_ms, self._request, entry, delayed)
            return
        self.n_denied[waiter.tenant] += 1
        self.n_refused_later += waiter.is_later
        if self.comes_back and not waiter.is_later:
            other, later = self.rng.choice(self.entries), Waiter(waiter.tenant, True)
            self.at(now + denial.retry_after_ms + 1.0, self._request, other, later)

    # Messages

    def _send_line(self, entry):
        now = self.clock()
        if now < entry.frozen_until:
            self.at(entry.frozen_until, self._send_line, entry)
            return
        entry.is_sending = False
        entry.lines.charge(1.0, now)
        self.n_messages += 1
        waiting, entry.waiting = entry.waiting, {}
        for tenant, waiters in waiting.items():
            share = entry.shares.get(tenant, self.quotas[tenant], now)
            ask = (entry, share, waiters, share.n_to_ask(len(waiters), now), now)
            if now >= entry.cut_until:
                self.at(now + LATENCY_MS, self._grant, *ask)

    def _grant(self, entry, share, waiters, n_asked, asked_at):
        now = self.clock()
        if now < self.acts_until:
            grant = self.ledger.grant(waiters[0].tenant, n_asked, now)
            answer = (entry, share, waiters, grant, asked_at)
            self.at(now + LATENCY_MS, self._answer, *answer)

    def _answer(self, entry, share, waiters, grant, asked_at):
        now = self.clock()
        if now < entry.frozen_until:
            event = (entry, share, waiters, grant, asked_at)
            self.at(entry.frozen_until, self._answer, *event)
            return
        if now < entry.cut_until or not (grant.n_granted or grant.retry_after_ms):
            return
        waiters = [waiter for waiter in waiters if not waiter.is_done]
        denials = share.apply_grant(grant, len(waiters), asked_at, now)
        n_served = len(waiters) - len(denials)
        for waiter in waiters[:n_served]:
            if share.take(now) is not None:
                waiter.is_done = True
                self._send(waiter)
        for waiter, denial in zip(waiters[n_served:], denials, strict=True):
            waiter.is_done = True
            self._deny(entry, waiter, denial)

    def _give_up(self, entry, share, waiter):
        now = self.clock()
        if now < entry.frozen_until:
            self.at(entry.frozen_until, self._give_up, entry, share, waiter)
        elif not waiter.is_done:
            waiter.is_done = True
            if share.take_reserve(now):
                self._send(waiter)

    def _update_reserves(self):
        now = self.clock()
        self.fleet.report(len(self.entries), now)
        for entry in self.entries:
            if now >= entry.frozen_until:
                for tenant, quota in self.quotas.items():
                    entry.shares.update_reserve(
                        tenant, quota, self.fleet, self.ids, now
                    )
        self.at(now + 1_000.0, self._update_reserves)

    # Faults

    def change_leader(self, gap_ms):
        """Let the leader stop, and another one begin after a gap."""
        now = self.clock()
        self.acts_until = now
        self.at(now + gap_ms, self._begin_leader)

    def _begin_leader(self):
        self.ledger = QuotaLedger(LIMITS)
        self.ledger.apply_quotas(self.quotas, self.clock())
        self.ledger.start(self.clock())
        self.acts_until = float("inf")

    def set_quota(self, tenant, quota):
        """Put another quota in force at the leader and all entries."""
        self.quotas[tenant] = quota
        self.ledger.apply_quotas(self.quotas, self.clock())

    def most_in_window(self, tenant, from_ms=0.0):
        """Return the most requests of a tenant that ran in any window."""
        runs = [run for run in self.runs[tenant] if run >= from_ms]
        first = most = 0
        for number, run in enumerate(runs):
            while runs[first] <= run - LIMITS.window_ms:
                first += 1
            most = max(most, number - first + 1)
        return most
