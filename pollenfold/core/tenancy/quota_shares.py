"""An entry's permits for the requests of tenants, and what it asks the leader for.

A request with a permit is sent. Without one the entry asks, unless the leader denied
permits just now. While no leader can be reached, the entry has a share of a reserve,
which is the smallest share that it had in the last window (``SettledMinimum``): so the
sum over all entries holds while entries start, end and are cut off.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass
from math import exp

from ..allowances import FleetSize, WindowCount, divide_permits
from ..clock import Instant, add_ms
from ..retry_budget import SettledMinimum
from .quota_ledger import Grant
from .quota_limits import (
    BATCH_MS,
    PERMIT_VALIDITY_MS,
    QuotaLimits,
    divide_quota,
    hold_ms,
)
from .tenants import Quota

DEMAND_TIME_MS = 1_000.0
"""The time constant with which earlier requests count less in the demand."""

MAX_ASKED = 10_000
"""The most permits for which one message to the leader asks."""

SUBJECT = "quota "
"""Seeds, with the tenant, the hash that selects the entries with one more permit."""


@dataclass(frozen=True, slots=True)
class Denial:
    """No permit for a request, and when its caller may come back."""

    retry_after_ms: float


class _Demand:
    """The rate of a tenant's requests at this entry."""

    __slots__ = ("_n_weighted", "_updated")

    def __init__(self, now: Instant) -> None:
        self._n_weighted = 0.0
        self._updated = now

    def count(self, now: Instant) -> None:
        self._n_weighted = self._decayed(now) + 1.0
        self._updated = now

    def n_in_batch(self, now: Instant) -> int:
        """Return how many requests come in ``BATCH_MS``."""
        return int(self._decayed(now) * BATCH_MS / DEMAND_TIME_MS)

    def _decayed(self, now: Instant) -> float:
        return self._n_weighted * exp((self._updated - now) / DEMAND_TIME_MS)


class TenantShare:
    """What one entry holds of one tenant's quota.

    Until ``_denied_until`` the entry refuses requests without asking the leader, and
    the next caller refused in this way may come back at ``_retry_at``.
    """

    __slots__ = (
        "quota",
        "_limits",
        "_interval_ms",
        "_hold_ms",
        "_n_reserved",
        "_permits",
        "_demand",
        "_denied_until",
        "_denied_at",
        "_retry_at",
        "_division",
        "_n_share",
        "_settled",
        "_n_used",
    )

    def __init__(self, quota: Quota, limits: QuotaLimits, now: Instant) -> None:
        self._limits = limits
        self._permits: deque[Instant] = deque()
        """The end of the validity of each permit, in ascending order."""

        self._demand = _Demand(now)
        self._denied_until = now
        self._denied_at: Instant | None = None
        self._retry_at = now
        self._n_share = 0
        self._settled = SettledMinimum(limits.window_ms, now)
        self._n_used = WindowCount(limits.window_ms)
        self.set_quota(quota)

    def set_quota(self, quota: Quota) -> None:
        """Apply the quota of a new configuration; permits that are held stay valid."""
        parts = divide_quota(quota, self._limits)
        self.quota = quota
        self._interval_ms = 1000 / parts.rate_per_s
        self._hold_ms = hold_ms(parts.rate_per_s)
        self._n_reserved = parts.n_reserved
        self._division: tuple[frozenset[str], int] | None = None

    def count_request(self, now: Instant) -> None:
        """Count a request that needs a permit, for the size of the next batch."""
        self._demand.count(now)

    def take(self, now: Instant) -> Instant | None:
        """Take a permit that is still valid; return until when, or None if none is."""
        permits = self._permits
        while permits and permits[0] <= now:
            permits.popleft()
        return permits.popleft() if permits else None

    def denial(self, now: Instant) -> Denial | None:
        """Return the refusal of a request while a denial of the leader holds.

        Those refused here queue behind the request that the leader denied.
        """
        if now >= self._denied_until or self._permits:
            return None
        retry_after_ms = min(max(0.0, self._retry_at - now), self._limits.max_wait_ms)
        self._retry_at = add_ms(self._retry_at, self._interval_ms)
        return Denial(retry_after_ms)

    def n_to_ask(self, n_waiting: int, now: Instant) -> int:
        """Return how many permits to ask for.

        They include those of the next ``BATCH_MS``, unless permits were denied so
        recently that permits which aren't used would be missed elsewhere.
        """
        denied_at = self._denied_at
        is_short = denied_at is not None and now < add_ms(denied_at, DEMAND_TIME_MS)
        n_ahead = 0 if is_short else self._demand.n_in_batch(now)
        return min(MAX_ASKED, n_waiting + n_ahead)

    def apply_grant(
        self, grant: Grant, n_waiting: int, asked_at: Instant, now: Instant
    ) -> list[Denial]:
        """Hold the permits that were granted; return the denials of what waits.

        ``n_waiting`` requests wait for the answer to what was sent at ``asked_at``.
        Those beyond the permits are denied, the first with the time of the leader.
        """
        expires_at = add_ms(asked_at, PERMIT_VALIDITY_MS)
        if expires_at > now:
            self._permits.extend([expires_at] * grant.n_granted)
        if not grant.retry_after_ms:
            return []
        n_denied = max(0, n_waiting - grant.n_granted)
        denials = [
            Denial(
                min(
                    grant.retry_after_ms + number * self._interval_ms,
                    self._limits.max_wait_ms,
                )
            )
            for number in range(n_denied)
        ]
        self._denied_at = now
        self._denied_until = add_ms(now, min(self._hold_ms, grant.retry_after_ms))
        self._retry_at = add_ms(
            now, grant.retry_after_ms + n_denied * self._interval_ms
        )
        return denials

    def update_reserve(
        self,
        tenant: str,
        entry_id: str,
        fleet: FleetSize,
        entry_ids: frozenset[str],
        now: Instant,
    ) -> None:
        """Divide the reserve anew; call it far more often than once a window.

        An entry that wasn't told the number of entries for some time has no share,
        since the others may have divided it among themselves.
        """
        division = (entry_ids, fleet.get(now))
        if division != self._division:
            self._division = division
            self._n_share = divide_permits(
                self._n_reserved, entry_id, entry_ids, SUBJECT + tenant, division[1]
            )
        self._settled.record(self._n_share if fleet.is_current(now) else 0, now)

    def take_reserve(self, now: Instant) -> bool:
        """Take a permit of the reserve, if this entry's share has one left."""
        if self._n_used.get(now) >= self._settled.get(now):
            return False
        self._n_used.add(now)
        return True


class QuotaShares:
    """What one entry holds of the quotas of all tenants."""

    def __init__(self, limits: QuotaLimits, entry_id: str) -> None:
        self._limits = limits
        self._entry_id = entry_id
        self._shares: dict[str, TenantShare] = {}

    def get(self, tenant: str, quota: Quota, now: Instant) -> TenantShare:
        """Return the share of a tenant, with the quota of the configuration."""
        share = self._shares.get(tenant)
        if share is None:
            share = self._shares[tenant] = TenantShare(quota, self._limits, now)
        elif share.quota != quota:
            share.set_quota(quota)
        return share

    def find(self, tenant: str) -> TenantShare | None:
        """Return the share of a tenant, or None if it has no quota."""
        return self._shares.get(tenant)

    def retain(self, tenants: Container[str]) -> None:
        """Drop the shares of tenants that no longer have a quota."""
        self._shares = {k: v for k, v in self._shares.items() if k in tenants}

    def update_reserve(
        self,
        tenant: str,
        quota: Quota,
        fleet: FleetSize,
        entry_ids: frozenset[str],
        now: Instant,
    ) -> None:
        """Divide the reserve of a tenant; see ``TenantShare.update_reserve``."""
        share = self.get(tenant, quota, now)
        share.update_reserve(tenant, self._entry_id, fleet, entry_ids, now)
