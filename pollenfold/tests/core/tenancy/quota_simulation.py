"""Entries and successive leaders that exchange permits on one simulated clock."""

import heapq
import itertools
import random

from pollenfold.core.allowances import FleetSize
from pollenfold.core.clock import ManualClock
from pollenfold.core.tenancy.quota_ledger import QuotaLedger
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.core.tenancy.quota_shares import QuotaShares

LATENCY_MS = 2.0
MAX_WAIT_MS = 150.0
LIMITS = QuotaLimits()


class SimulatedEntry:
    """One entry; a restart gives it new shares, and a frozen one acts at its end."""

    def __init__(self, name):
        self.name = name
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.restart()

    def restart(self):
        self.shares = QuotaShares(LIMITS, self.name)


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

    def _arrive(self, tenant, entry=None, is_later=False):
        if entry is None:
            entry = self.rng.choice(self.entries)
            self.n_offered[tenant] += 1
        now = self.clock()
        if now < entry.frozen_until:
            self.at(entry.frozen_until, self._arrive, tenant, entry, is_later)
            return
        share = entry.shares.get(tenant, self.quotas[tenant], now)
        share.count_request(now)
        if share.take(now) is not None:
            self._send(tenant, is_later)
        elif (denial := share.denial(now)) is not None:
            self._deny(tenant, denial, is_later)
        else:
            self._ask(tenant, entry, share, is_later)

    def _send(self, tenant, is_later):
        self.runs[tenant].append(self.clock())
        self.n_served_later += is_later

    def _deny(self, tenant, denial, is_later):
        self.n_denied[tenant] += 1
        self.n_refused_later += is_later
        if self.comes_back and not is_later:
            entry = self.rng.choice(self.entries)
            back_ms = self.clock() + denial.retry_after_ms + 1.0
            self.at(back_ms, self._arrive, tenant, entry, True)

    # Messages

    def _ask(self, tenant, entry, share, is_later):
        now = self.clock()
        n_asked = share.n_to_ask(1, now)
        waiter = {"tenant": tenant, "later": is_later, "done": False}
        self.at(now + MAX_WAIT_MS, self._give_up, entry, share, waiter)
        if now >= entry.cut_until:
            self.n_messages += 1
            arrival = (tenant, entry, share, waiter, n_asked, now)
            self.at(now + LATENCY_MS, self._grant, *arrival)

    def _grant(self, tenant, entry, share, waiter, n_asked, asked_at):
        now = self.clock()
        if now < self.acts_until:
            grant = self.ledger.grant(tenant, n_asked, now)
            answer = (entry, share, waiter, grant, asked_at)
            self.at(now + LATENCY_MS, self._answer, *answer)

    def _answer(self, entry, share, waiter, grant, asked_at):
        now = self.clock()
        if now < entry.frozen_until:
            event = (entry, share, waiter, grant, asked_at)
            self.at(entry.frozen_until, self._answer, *event)
            return
        if now < entry.cut_until or not (grant.n_granted or grant.retry_after_ms):
            return
        n_waiting = 0 if waiter["done"] else 1
        denials = share.apply_grant(grant, n_waiting, asked_at, now)
        if waiter["done"]:
            return
        if denials:
            waiter["done"] = True
            self._deny(waiter["tenant"], denials[0], waiter["later"])
        elif share.take(now) is not None:
            waiter["done"] = True
            self._send(waiter["tenant"], waiter["later"])

    def _give_up(self, entry, share, waiter):
        now = self.clock()
        if now < entry.frozen_until:
            self.at(entry.frozen_until, self._give_up, entry, share, waiter)
        elif not waiter["done"]:
            waiter["done"] = True
            if share.take_reserve(now):
                self._send(waiter["tenant"], waiter["later"])

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
