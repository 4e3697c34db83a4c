"""Which control replica a subscriber asks for the replicated state, and when.

Every replica announces each new index, and a document may take a slow link longer than
the time between two versions. A subscriber therefore has one request in flight over all
its feeds, and asks again when the response has arrived.
"""

from __future__ import annotations

from dataclasses import dataclass

from .clock import Instant, add_ms

REMOTE_ZONE_DELAY_MS = 120.0
"""How long a replica of another zone isn't asked while one of the own zone may announce
the same index, since bytes between zones cost more."""

STALL_TIMEOUT_MS = 500.0
"""Without progress for this long, another replica is asked. The time doubles with each
stall in a row: a full link delays all responses, and copies would fill it further."""

RETRY_PAUSE_MS = 250.0
"""The first pause before a replica is asked again whose last response was too old or
never arrived; it doubles with each failure in a row."""

MAX_DOUBLINGS = 3


@dataclass(slots=True)
class _Source:
    """An open feed of a replica."""

    zone: str
    index: int = 0
    announced_at: Instant = Instant(0.0)
    """When it announced an index that the subscriber lacks, or since when the
    subscriber lacks it after the last response."""

    asked_index: int = 0
    progress_at: Instant | None = None
    """When the response last made progress; None when none is awaited."""

    is_stalled: bool = False
    n_failures: int = 0
    retry_at: Instant = Instant(0.0)


class StateFetch:
    """Decides which replica to ask for the state.

    The owner reports what happens on the feeds and calls ``next_host`` after each
    report and at ``wake_at``. ``held_index`` is the index of the state that the
    subscriber holds at first.
    """

    def __init__(self, zone: str, held_index: int = 0) -> None:
        self._zone = zone
        self._held_index = held_index
        self._sources: dict[str, _Source] = {}
        self._n_stalls = 0

    def open(self, host: str, zone: str) -> None:
        """Record that the feed of a replica was opened."""
        self._sources[host] = _Source(zone)

    def close(self, host: str) -> None:
        """Record that the feed ended; a response that is under way is lost."""
        self._sources.pop(host, None)

    def announce(self, host: str, index: int, now: Instant) -> None:
        """Record the index that a replica announced."""
        source = self._sources.get(host)
        if source is None or index == source.index:
            return
        if source.index <= self._held_index:
            source.announced_at = now
        source.index = index

    def record_progress(self, host: str, now: Instant) -> None:
        """Record that a part of a long response of the replica arrived."""
        source = self._sources.get(host)
        if source is not None and source.progress_at is not None:
            source.progress_at = now
            source.is_stalled = False

    def receive(self, host: str, index: int, now: Instant) -> None:
        """Record that a replica sent its state, whether or not it is new here."""
        if index > self._held_index:
            self._hold(index, now)
        source = self._sources.get(host)
        if source is None:
            return
        if index < source.asked_index:
            self._fail(source, now)
            return
        source.progress_at = None
        source.n_failures = 0
        self._n_stalls = 0

    def record_failure(self, host: str, now: Instant) -> None:
        """Record that a request couldn't be sent, or that its response is unusable."""
        source = self._sources.get(host)
        if source is not None:
            self._fail(source, now)

    def _hold(self, index: int, now: Instant) -> None:
        self._held_index = index
        for source in self._sources.values():
            # The next announcement of the own zone may be queued behind this response.
            source.announced_at = now
            if source.progress_at is None:
                source.n_failures = 0

    def _fail(self, source: _Source, now: Instant) -> None:
        """Stop waiting for a response, and pause before the next request."""
        source.progress_at = None
        self._count_failure(source, now)

    def _count_failure(self, source: _Source, now: Instant) -> None:
        source.retry_at = add_ms(now, _doubled(RETRY_PAUSE_MS, source.n_failures))
        source.n_failures += 1

    def next_host(self, now: Instant) -> str | None:
        """Return the replica to ask now, and record that it was asked, or None."""
        self._detect_stalls(now)
        if self._is_in_flight():
            return None
        hosts = [
            host
            for host, source in self._sources.items()
            if self._is_ahead(source) and self._eligible_at(source) <= now
        ]
        host = min(hosts, key=self._rank, default=None)
        if host is not None:
            source = self._sources[host]
            source.asked_index = source.index
            source.progress_at = now
            source.is_stalled = False
        return host

    def wake_at(self) -> Instant | None:
        """Return when ``next_host`` may change its result without a report, or None."""
        sources = [s for s in self._sources.values() if self._is_ahead(s)]
        if not sources:
            return None
        if self._is_in_flight():
            return min(
                add_ms(s.progress_at, self._stall_timeout_ms())
                for s in self._sources.values()
                if s.progress_at is not None and not s.is_stalled
            )
        return min(self._eligible_at(source) for source in sources)

    def _is_in_flight(self) -> bool:
        return any(
            s.progress_at is not None and not s.is_stalled
            for s in self._sources.values()
        )

    def _stall_timeout_ms(self) -> float:
        return _doubled(STALL_TIMEOUT_MS, self._n_stalls)

    def _detect_stalls(self, now: Instant) -> None:
        timeout_ms = self._stall_timeout_ms()
        for source in self._sources.values():
            if source.progress_at is None or source.is_stalled:
                continue
            if now >= add_ms(source.progress_at, timeout_ms):
                source.is_stalled = True
                self._n_stalls += 1
                # The response may still arrive, so it is still awaited.
                self._count_failure(source, now)

    def _is_ahead(self, source: _Source) -> bool:
        return source.index > self._held_index

    def _eligible_at(self, source: _Source) -> Instant:
        """Return from when a replica may be asked."""
        if source.n_failures:
            return source.retry_at
        if source.zone == self._zone or not self._has_own_zone():
            return source.announced_at
        return add_ms(source.announced_at, REMOTE_ZONE_DELAY_MS)

    def _has_own_zone(self) -> bool:
        """Return whether a replica of the own zone is open and hasn't failed."""
        return any(
            s.zone == self._zone and not s.n_failures for s in self._sources.values()
        )

    def _rank(self, host: str) -> tuple[int, bool, Instant]:
        source = self._sources[host]
        return source.n_failures, source.zone != self._zone, source.announced_at


def _doubled(duration_ms: float, n_times: int) -> float:
    return duration_ms * float(1 << min(n_times, MAX_DOUBLINGS))
