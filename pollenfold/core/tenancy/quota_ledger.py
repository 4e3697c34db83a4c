"""The leader's permits for the requests of tenants: a token bucket for each quota.

All permits of all entries come from here, except those of the reserve, so the buckets
limit the sum. A leader begins with empty buckets: the leader before it may have granted
a whole burst just now.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil, inf

from ..clock import Instant, add_ms
from ..token_bucket import TokenBucket
from .quota_limits import QuotaLimits, divide_quota
from .tenants import Quota

ROUNDING = 1e-6
"""Keeps sums of fractions from falling short of a whole permit."""


@dataclass(frozen=True, slots=True)
class Grant:
    """The permits granted on a request, and when the first one denied may be served.

    ``retry_after_ms`` is 0 if all were granted.
    """

    n_granted: int
    retry_after_ms: float = 0.0


class _TenantBucket:
    """The permits of one tenant.

    ``promised_until`` is when the last permit will be there that a denied request was
    told to come back for.
    """

    __slots__ = ("quota", "permits", "promised_until")

    def __init__(self, quota: Quota, permits: TokenBucket, now: Instant) -> None:
        self.quota = quota
        self.permits = permits
        self.promised_until = now

    def grant(self, n: int, now: Instant, max_wait_ms: float) -> Grant:
        level = self.permits.level(now)
        n_granted = min(n, int(level + ROUNDING))
        self.permits.charge(n_granted, now)
        if n_granted == n:
            return Grant(n)
        return Grant(n_granted, self._deny(n - n_granted, now, max_wait_ms))

    def _deny(self, n: int, now: Instant, max_wait_ms: float) -> float:
        """Return when the first of ``n`` requests may be served, after those before."""
        per_ms = self.permits.rate_per_s / 1000
        n_before = max(0, ceil((self.promised_until - now) * per_ms - ROUNDING))
        n_missing = n_before + 1 - self.permits.level(now)
        last_ms = (n_missing + n - 1) / per_ms
        self.promised_until = add_ms(now, min(last_ms, max_wait_ms))
        return float(ceil(min(n_missing / per_ms, max_wait_ms)))


class QuotaLedger:
    """The buckets of all tenants with a quota, at the replica that leads.

    For example, after ``ledger.start(now)`` and ``ledger.apply_quotas({"t": Quota(20,
    10)}, now)`` there is one permit every 50 ms, and after half a second 10 at once.
    """

    def __init__(self, limits: QuotaLimits) -> None:
        self._limits = limits
        self._quotas: dict[str, Quota] = {}
        self._buckets: dict[str, _TenantBucket] = {}
        self._started_at = Instant(inf)

    @property
    def quotas(self) -> dict[str, Quota]:
        """The quotas that were applied last, by tenant."""
        return self._quotas

    def start(self, at: Instant) -> None:
        """Begin with empty buckets, which gain permits from an instant on."""
        self._started_at = at
        self._buckets = {}
        for tenant, quota in self._quotas.items():
            self._buckets[tenant] = self._bucket(quota, at, 0.0)

    def apply_quotas(self, quotas: Mapping[str, Quota], now: Instant) -> None:
        """Replace the quotas by those of a new configuration.

        A bucket keeps its level, up to its new size. The one of a new quota is full
        only if this replica has granted for a whole window: what another one may have
        granted for the quota is older then.
        """
        buckets = {}
        is_settled = now >= add_ms(self._started_at, self._limits.window_ms)
        for tenant, quota in quotas.items():
            known = self._buckets.get(tenant)
            if known is None:
                level = inf if is_settled else 0.0
                buckets[tenant] = self._bucket(quota, now, level)
            elif known.quota == quota:
                buckets[tenant] = known
            else:
                level = known.permits.level(now)
                buckets[tenant] = self._bucket(quota, now, level)
        self._quotas = dict(quotas)
        self._buckets = buckets

    def grant(self, tenant: str, n: int, now: Instant) -> Grant:
        """Grant up to ``n`` permits; all of them to a tenant without a quota."""
        if now < self._started_at:
            return Grant(0)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return Grant(n)
        return bucket.grant(n, now, self._limits.max_wait_ms)

    def level(self, tenant: str, now: Instant) -> float | None:
        """Return the permits that are there, or None without a quota."""
        bucket = self._buckets.get(tenant)
        return None if bucket is None else bucket.permits.level(now)

    def _bucket(self, quota: Quota, now: Instant, level: float) -> _TenantBucket:
        parts = divide_quota(quota, self._limits)
        filled_from = max(now, self._started_at) if self._started_at < inf else now
        bucket = TokenBucket(
            parts.rate_per_s, parts.capacity, filled_from, min(level, parts.capacity)
        )
        return _TenantBucket(quota, bucket, now)
