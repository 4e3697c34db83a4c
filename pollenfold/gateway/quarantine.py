"""What an entry knows of requests that end servers, and exchanges with others."""

from __future__ import annotations

import curio

from ..core.clock import Clock, Instant
from ..core.quarantine import EndedRun, Quarantine
from ..observe.events import EventLog
from ..observe.malformed import MalformedItems
from .endpoint import Endpoint


class RequestQuarantine:
    """The requests that this entry doesn't send, by its own and others' observations.

    ``has_reports`` is set while there are reports for the control replicas.
    """

    def __init__(self, clock: Clock, log: EventLog, malformed: MalformedItems) -> None:
        self._clock = clock
        self._log = log
        self._malformed = malformed
        self._quarantine = Quarantine()
        self._unsent: dict[str, None] = {}
        self._logged: set[str] = set()
        """The digests that were last logged as quarantined."""

        self._running_at: dict[str, int] = {}
        self.has_reports = curio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether no request is under suspicion, so that none needs a digest."""
        return not len(self._quarantine)

    @property
    def n_quarantined(self) -> int:
        """The number of quarantined requests."""
        return len(self._quarantine.quarantined_digests())

    def is_suspect(self, digest: str) -> bool:
        """Return whether a server ended while it ran the request."""
        return self._quarantine.is_suspect(digest)

    def is_quarantined(self, digest: str) -> bool:
        """Return whether the request must not be sent to a server."""
        return self._quarantine.is_quarantined(digest)

    def ended_endpoint_ids(self, digest: str) -> list[str]:
        """Return the servers that ended in succession while they ran the request."""
        return self._quarantine.ended_endpoint_ids(digest)

    # Observations of this entry

    async def record_end(
        self, digest: str, endpoint: Endpoint, started_at: Instant, ended_at: Instant
    ) -> None:
        """Record that a server ended while it ran a request."""
        endpoint_id, born_ms = endpoint.incarnation
        run = EndedRun(endpoint_id, born_ms, started_at, ended_at)
        if self._quarantine.add_run(digest, run):
            self._log.state("server_ended", endpoint=endpoint_id, digest=digest)
            self._log_change(digest, "answer")
            await self._queue(digest)

    async def record_completion(self, digest: str) -> None:
        """Record that a server completed a request, which clears it."""
        if self._quarantine.clear(digest, self._clock()):
            self._log_change(digest, "answer")
            await self._queue(digest)

    def _log_change(self, digest: str, source: str) -> None:
        """Log that a request was quarantined or released since the last call."""
        is_quarantined = self.is_quarantined(digest)
        if is_quarantined == (digest in self._logged):
            return
        if is_quarantined:
            self._logged.add(digest)
            servers = ",".join(self.ended_endpoint_ids(digest))
            self._log.state(
                "request_quarantined", digest=digest, endpoints=servers, source=source
            )
        else:
            self._logged.discard(digest)
            self._log.state("request_released", digest=digest, source=source)

    # Suspects that run on a server

    def begin_run(self, endpoint: Endpoint) -> None:
        """Record that a request under suspicion is sent to a server."""
        endpoint_id = endpoint.announcement.endpoint_id
        self._running_at[endpoint_id] = self._running_at.get(endpoint_id, 0) + 1

    def end_run(self, endpoint: Endpoint) -> None:
        """Record that a request under suspicion no longer runs on a server."""
        endpoint_id = endpoint.announcement.endpoint_id
        self._running_at[endpoint_id] -= 1
        if not self._running_at[endpoint_id]:
            del self._running_at[endpoint_id]

    def busy_endpoint_ids(self) -> frozenset[str]:
        """Return the servers that run a request under suspicion of this entry.

        If such a server ends, it isn't known which of several caused it.
        """
        return frozenset(self._running_at)

    # Reports

    async def _queue(self, digest: str) -> None:
        self._unsent[digest] = None
        await self.has_reports.set()

    async def queue_all(self) -> None:
        """Queue what a control replica may lack that becomes the update source."""
        for digest in self._quarantine.repeated_digests():
            await self._queue(digest)

    def take_reports(self) -> list[list[object]]:
        """Return the reports to send to a control replica, and forget them."""
        unsent, self._unsent = self._unsent, {}
        self.has_reports.clear()
        now = self._clock()
        return [
            self._quarantine.report(digest, now)
            for digest in unsent
            if digest in self._quarantine
        ]

    def merge_reports(self, items: object) -> None:
        """Merge what others know; malformed reports are skipped and counted."""
        now = self._clock()
        for digest in self._malformed.decode_each(
            "quarantine", items, lambda fields: self._quarantine.merge(fields, now)
        ):
            if digest is not None:
                self._log_change(digest, "report")

    def expire(self) -> None:
        """Forget requests whose time under suspicion or in quarantine is over."""
        self._quarantine.expire(self._clock())
        for digest in [k for k in self._logged if not self.is_quarantined(k)]:
            self._log_change(digest, "expiry")
