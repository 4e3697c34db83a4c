"""How the limit on the sum of a tenant's requests is divided into its parts.

In any window all entries together may have ``(rate * window + burst) * (1 + overage)
+ slack`` requests of a tenant executed. The leader's bucket uses ``rate`` and
``burst``. A permit is used up to ``PERMIT_VALIDITY_MS`` after it was granted, which
takes a part of the rest. What is still left is spare; the reserve is a part of it.
"""

from __future__ import annotations

from dataclasses import dataclass

from .tenants import Quota

PERMIT_VALIDITY_MS = 300.0
"""How long a permit is valid, from when the entry asked for it."""

BATCH_MS = 200.0
"""The time for whose requests an entry with a high rate asks at once."""

MIN_CAPACITY_MS = 100.0
"""A bucket holds at least the permits of this time, since entries don't ask for each
permit at the moment it is there."""

CAPACITY_SHARE = 0.4
"""The part of what is spare that a bucket may hold in place of a smaller burst.

Requests at random times would else often find the bucket of a low rate empty."""

RESERVE_SHARE = 0.5
"""The part of what is spare that is used while no leader can be reached. The rest is
for requests that begin to run later than they were sent."""

MIN_HOLD_MS = 20.0
"""How long an entry at least doesn't ask again after a denial; see ``hold_ms``."""

MAX_RETRY_AFTER_MS = 60_000.0
"""The longest time that a denied caller is told to wait, whatever the window."""

MIN_RATE_PER_S = 1e-6
"""A bucket of a lower rate would take longer than any time that can be told."""


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """The limit on the requests of a tenant beyond rate and burst, and its window."""

    window_ms: float = 5_000.0
    overage: float = 0.1
    slack: float = 20.0

    @property
    def max_wait_ms(self) -> float:
        """The longest time after which a denied caller is told to come back."""
        return min(self.window_ms, MAX_RETRY_AFTER_MS)

    def total(self, quota: Quota) -> float:
        """Return how many requests may be executed in any window."""
        return _n_permitted(quota, self.window_ms) * (1 + self.overage) + self.slack


@dataclass(frozen=True, slots=True)
class QuotaParts:
    """The bucket of the leader, and the permits of the reserve in one window."""

    rate_per_s: float
    capacity: float
    n_reserved: int


def divide_quota(quota: Quota, limits: QuotaLimits) -> QuotaParts:
    """Return the parts of a quota, which together stay within its limit.

    For example, with the usual settings a rate of 20/s and a burst of 20 give a bucket
    of that size, and 13 permits in reserve. Settings that leave no room for the
    validity of permits make the bucket smaller.
    """
    total = limits.total(quota)
    used_ms = limits.window_ms + PERMIT_VALIDITY_MS
    used = quota.rate_per_s * used_ms / 1000
    n_spare = max(0.0, total - used - quota.burst)
    min_capacity = max(1.0, quota.rate_per_s * MIN_CAPACITY_MS / 1000)
    capacity = max(quota.burst, min_capacity, CAPACITY_SHARE * n_spare)
    scale = min(1.0, total / (used + capacity))
    n_unused = max(0.0, total - used - capacity)
    return QuotaParts(
        rate_per_s=max(MIN_RATE_PER_S, quota.rate_per_s * scale),
        capacity=max(1.0, capacity * scale),
        n_reserved=int(RESERVE_SHARE * n_unused),
    )


def hold_ms(rate_per_s: float) -> float:
    """Return how long an entry doesn't ask again after a denial.

    It is the time of one permit, within limits: those of high rates would cause a
    message for each request, and those of low rates last longer than any batch.
    """
    return min(BATCH_MS, max(MIN_HOLD_MS, 1000 / rate_per_s))


def _n_permitted(quota: Quota, duration_ms: float) -> float:
    """Return how many requests rate and burst permit within a duration."""
    return quota.rate_per_s * duration_ms / 1000 + quota.burst
