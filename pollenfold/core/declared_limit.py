"""The limit on requests per second that a backend server declares for itself.

It holds for the sum over all entries, and a server with a low limit gets far less than
one request per entry in any few seconds. The limit is therefore handed out in whole
permits: all entries compute the same division from the same list of entries, without
messages between them. A load probe is a request too, so requests to a limited server
are sent without one.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from .allowances import divide_permits, rendezvous_rank
from .clock import Instant, add_ms

WINDOW_MS = 4_000.0
"""The window over which a declared limit is counted."""

CHECK_INTERVAL_MS = 4_500.0
"""How long after the last response a limited endpoint is probed by one entry, so that
the end of its limit is noticed without requests. It exceeds the window, since entries
with different lists of entries may each take themselves for that one."""


@dataclass(frozen=True, slots=True)
class LimitShare:
    """The share of one entry in the declared limit of an endpoint.

    The entry may send ``n_permits`` requests per ``window_ms``. If ``is_checker`` is
    true, it probes the endpoint from time to time. All others probe it only after
    ``fallback_ms`` without a response, which keeps them few in any window.
    """

    n_permits: int
    window_ms: float
    is_checker: bool
    fallback_ms: float

    def interval_ms(self, rate_per_s: float, fair_rate_per_s: float) -> float:
        """Return the time between two requests of this entry, which has permits.

        ``fair_rate_per_s`` is what the endpoint would get if all endpoints of its
        service got the same. A limit above it doesn't attract more.
        """
        excess = max(1.0, rate_per_s / fair_rate_per_s) if fair_rate_per_s else 1.0
        return self.window_ms / self.n_permits * excess


def divide_limit(
    rate_per_s: float,
    entry_id: str,
    entry_ids: frozenset[str],
    endpoint_id: str,
    n_entries: int,
) -> LimitShare:
    """Return the share of one entry in a declared limit.

    ``n_entries`` is the greatest number of entries reported recently, which may exceed
    the number of known ``entry_ids``. For example, 13 permits per 4.19 s stand for a
    limit of 3.1 requests/s; of 16 entries, 13 get one each.
    """
    n_total = ceil(rate_per_s * WINDOW_MS / 1000)
    window_ms = 1000 * n_total / rate_per_s if rate_per_s else WINDOW_MS
    return LimitShare(
        divide_permits(n_total, entry_id, entry_ids, endpoint_id, n_entries),
        window_ms,
        rendezvous_rank(entry_id, entry_ids, endpoint_id) == 0,
        WINDOW_MS * max(n_entries, len(entry_ids)),
    )


class DeclaredLimit:
    """The limit that one incarnation of an endpoint declares, and its use so far.

    ``seen_at`` is when a response last declared it, ``asked_at`` when the newest
    request was sent whose response did, ``logged_at`` when it was last logged.
    ``phase``, from 0 to 1, differs by entry, so that entries that see the limit at the
    same moment don't all use their first permits at once. ``share_inputs`` are the
    values for which the present share was computed.
    """

    __slots__ = (
        "rate_per_s",
        "seen_at",
        "asked_at",
        "logged_at",
        "share_inputs",
        "_phase",
        "_declared_at",
        "_used_at",
        "_checked_at",
        "_n_sending",
        "_share",
    )

    def __init__(self, rate_per_s: float, now: Instant, phase: float = 0.0) -> None:
        self.rate_per_s = rate_per_s
        self.seen_at = now
        self.asked_at = now
        self.logged_at = now
        self.share_inputs: tuple[float, frozenset[str], int] | None = None
        self._phase = phase
        self._declared_at = now
        self._used_at: Instant | None = None
        self._checked_at = now
        self._n_sending = 0
        self._share: LimitShare | None = None

    def set_rate(self, rate_per_s: float, now: Instant) -> float:
        """Apply a newly declared rate; return the previous one."""
        before, self.rate_per_s = self.rate_per_s, rate_per_s
        self.seen_at = now
        return before

    def set_share(self, share: LimitShare, now: Instant) -> None:
        """Apply the current share of this entry."""
        before, self._share = self._share, share
        if before is not None and not before.n_permits and share.n_permits:
            # Another entry may just have used the permits that are now this entry's.
            self._used_at = now

    def next_permit_at(self, fair_rate_per_s: float) -> Instant:
        """Return when this entry may send its next request; infinite for never.

        While a request is still being sent there is no permit, since it may arrive
        together with a later one.
        """
        share = self._share
        if share is None or not share.n_permits or self._n_sending:
            return Instant(float("inf"))
        interval_ms = share.interval_ms(self.rate_per_s, fair_rate_per_s)
        if self._used_at is None:
            return add_ms(self._declared_at, interval_ms * self._phase)
        return add_ms(self._used_at, interval_ms)

    def use_permit(self, now: Instant) -> None:
        """Record that a request is about to be sent."""
        self._used_at = now

    def begin_send(self) -> None:
        """Record that sending of a request has started."""
        self._n_sending += 1

    def end_send(self, now: Instant) -> None:
        """Record that a request was sent; a long one arrives only now."""
        self._n_sending -= 1
        self._used_at = now

    def is_check_due(self, now: Instant) -> bool:
        """Return whether this entry should probe whether the limit still holds."""
        share = self._share
        if share is None:
            return False
        factor = 1.0 + self._phase
        interval_ms = (
            CHECK_INTERVAL_MS if share.is_checker else factor * share.fallback_ms
        )
        return now >= add_ms(max(self.seen_at, self._checked_at), interval_ms)

    def record_check(self, now: Instant) -> None:
        """Record that the endpoint is about to be probed."""
        self._checked_at = now
