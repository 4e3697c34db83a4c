"""Counts and logs what another process sent that can't be decoded.

One malformed member of a list is skipped, so that it hides none of the others.
"""

from __future__ import annotations

from collections.abc import Callable
from reprlib import repr as short_repr
from typing import Any, TypeVar

from ..core.clock import Clock, Instant, add_ms
from .events import EventLog
from .exposition import Metrics

LOG_INTERVAL_MS = 5_000.0
"""The minimum time between two log lines on one kind. A list is often repeated."""

MAX_DETAIL_LENGTH = 200

T = TypeVar("T")


class MalformedItems:
    """The numbers of malformed items by kind, for example ``announcements``."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._next_log_at: dict[str, Instant] = {}
        self.n_by_kind: dict[str, int] = {}

    def record(self, kind: str, detail: str) -> None:
        """Count one item; log it unless one of its kind was logged just before."""
        self.n_by_kind[kind] = self.n_by_kind.get(kind, 0) + 1
        now = self._clock()
        if now < self._next_log_at.get(kind, now):
            return
        self._next_log_at[kind] = add_ms(now, LOG_INTERVAL_MS)
        self._log.state(
            "malformed_item",
            kind=kind,
            n_total=self.n_by_kind[kind],
            detail=detail[:MAX_DETAIL_LENGTH],
        )

    def decode_each(
        self, kind: str, items: object, decode: Callable[[Any], T]
    ) -> list[T]:
        """Decode the members of a list, without those that raise ValueError."""
        if not isinstance(items, list | tuple):
            self.record(kind, f"expected a list, got {short_repr(items)}")
            return []
        decoded = []
        for item in items:
            try:
                decoded.append(decode(item))
            except ValueError as error:
                self.record(kind, str(error))
        return decoded

    def export(self, metrics: Metrics) -> None:
        """Set the counters of a metrics page."""
        for kind, n_items in self.n_by_kind.items():
            metrics.set("malformed_items_total", n_items, kind=kind)
