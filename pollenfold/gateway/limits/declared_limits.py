"""The limits that endpoints declare, from their responses and from reports."""

from __future__ import annotations

import random
from collections.abc import Mapping

from ...core.clock import Clock, Instant, add_ms
from ...core.declared_limit import DeclaredLimit
from ...core.limit_report import (
    LimitReport,
    SeenReport,
    decode_limit_report,
    seen_report,
)
from ...observe.events import EventLog
from ...observe.malformed import MalformedItems
from ..endpoint import Endpoint

LIMIT_LOG_INTERVAL_MS = 1_000.0
"""The minimum time between two log lines on changes of one endpoint's limit."""

MAX_REPORTS = 4_096
MAX_LOGGED_VALUE_BYTES = 40


class DeclaredLimits:
    """Updates the limits of endpoints, and exchanges reports on them with entries.

    What this entry saw itself stands against an older report of another one.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        rng: random.Random,
        malformed: MalformedItems,
    ) -> None:
        self._clock = clock
        self._log = log
        self._malformed = malformed
        self._rng = rng
        self._reports: dict[str, SeenReport] = {}
        """The newest report on each endpoint, of this or another entry; kept apart from
        the endpoints, which may be announced later."""

        self._unsent_ids: set[str] = set()

    # Responses

    def declare(
        self, endpoint: Endpoint, limit_per_s: float, asked_at: Instant
    ) -> None:
        """Apply the limit that an endpoint declared in a response.

        ``asked_at`` is when the request was sent. A response to an earlier request than
        the newest one may lower a limit, but it neither raises nor ends it.
        """
        endpoint.has_malformed_limit = False
        limit = endpoint.declared_limit
        if limit is None:
            limit = self._start(endpoint, limit_per_s, "answer")
            limit.asked_at = asked_at
            self._queue_report(endpoint, limit_per_s)
            return
        if limit_per_s > limit.rate_per_s and asked_at < limit.asked_at:
            return
        limit.asked_at = max(limit.asked_at, asked_at)
        self._change(endpoint, limit, limit_per_s, "answer")
        self._queue_report(endpoint, limit_per_s)

    def _start(
        self, endpoint: Endpoint, limit_per_s: float, source: str
    ) -> DeclaredLimit:
        limit = DeclaredLimit(limit_per_s, self._clock(), self._rng.random())
        endpoint.declared_limit = limit
        self._log_change(endpoint, limit, "none", source)
        return limit

    def _change(
        self, endpoint: Endpoint, limit: DeclaredLimit, limit_per_s: float, source: str
    ) -> None:
        now = self._clock()
        before = limit.set_rate(limit_per_s, now)
        is_log_due = now >= add_ms(limit.logged_at, LIMIT_LOG_INTERVAL_MS)
        if limit_per_s != before and is_log_due:
            self._log_change(endpoint, limit, before, source)
            limit.logged_at = now

    def _log_change(
        self, endpoint: Endpoint, limit: DeclaredLimit, before: object, source: str
    ) -> None:
        self._log.state(
            "endpoint_limited",
            endpoint=endpoint.announcement.endpoint_id,
            limit_per_s=limit.rate_per_s,
            before=before,
            source=source,
        )

    def end(self, endpoint: Endpoint, asked_at: Instant) -> None:
        """Remove the limit of an endpoint that no longer declares one."""
        endpoint.unlimited_at = self._clock()
        limit = endpoint.declared_limit
        if limit is None or asked_at < limit.asked_at:
            return
        self._end(endpoint, limit, "answer")
        self._queue_report(endpoint, None)

    def _end(self, endpoint: Endpoint, limit: DeclaredLimit, source: str) -> None:
        endpoint.declared_limit = None
        self._log.state(
            "endpoint_limit_ended",
            endpoint=endpoint.announcement.endpoint_id,
            limit_per_s=limit.rate_per_s,
            source=source,
        )

    def reject(self, endpoint: Endpoint, value: bytes) -> None:
        """Log a malformed limit, once until the endpoint declares a valid one."""
        if endpoint.has_malformed_limit:
            return
        endpoint.has_malformed_limit = True
        self._log.state(
            "malformed_limit",
            endpoint=endpoint.announcement.endpoint_id,
            value=value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1"),
        )

    # Reports of entries on declared limits

    def _queue_report(self, endpoint: Endpoint, rate_per_s: float | None) -> None:
        """Queue a report on an endpoint's limit, unless the others know it already."""
        endpoint_id, born_ms = endpoint.incarnation
        known = self._reports.get(endpoint_id)
        report = LimitReport(endpoint_id, born_ms, rate_per_s, 0.0)
        if known is not None and known.report.is_similar(report):
            return
        self._keep_report(SeenReport(report, self._clock()))
        self._unsent_ids.add(endpoint_id)

    def _keep_report(self, seen: SeenReport) -> None:
        endpoint_id = seen.report.endpoint_id
        self._reports.pop(endpoint_id, None)
        self._reports[endpoint_id] = seen
        while len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]

    def take_reports(self) -> list[list[object]]:
        """Return the reports to send to a control replica, and forget them."""
        endpoint_ids, self._unsent_ids = self._unsent_ids, set()
        now = self._clock()
        return [
            self._reports[k].aged_report(now).encode()
            for k in endpoint_ids
            if k in self._reports
        ]

    def apply_reports(self, items: object, endpoints: Mapping[str, Endpoint]) -> None:
        """Apply what other entries saw, as far as it is newer than what this one saw.

        Malformed reports are skipped and counted.
        """
        now = self._clock()
        for report in self._malformed.decode_each("limits", items, decode_limit_report):
            seen = seen_report(report, now)
            endpoint_id = seen.report.endpoint_id
            known = self._reports.get(endpoint_id)
            if known is not None and known.seen_at >= seen.seen_at:
                continue
            self._keep_report(seen)
            self._unsent_ids.discard(endpoint_id)
            endpoint = endpoints.get(endpoint_id)
            if endpoint is not None:
                self.apply_known_report(endpoint)

    def apply_known_report(self, endpoint: Endpoint) -> None:
        """Apply the newest report on an endpoint, which may have come before it."""
        endpoint_id, born_ms = endpoint.incarnation
        seen = self._reports.get(endpoint_id)
        if seen is None or seen.report.born_ms != born_ms:
            return
        limit, rate_per_s = endpoint.declared_limit, seen.report.rate_per_s
        own_seen_at = endpoint.unlimited_at if limit is None else limit.seen_at
        if seen.seen_at <= own_seen_at:
            return
        if limit is None:
            if rate_per_s is not None:
                self._start(endpoint, rate_per_s, "report")
        elif rate_per_s is None:
            self._end(endpoint, limit, "report")
        else:
            self._change(endpoint, limit, rate_per_s, "report")
