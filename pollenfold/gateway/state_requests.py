"""Requests the replicated state over the feeds of the control replicas."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import curio

from ..core.clock import Clock, remaining_ms
from ..core.state_fetch import StateFetch
from ..observe.error_text import error_text
from ..observe.events import EventLog
from ..wire.document_transfer import DocumentMismatchError, decode_transfer
from .feed import Feed

if TYPE_CHECKING:
    from .view import FleetView

IDLE_CHECK_MS = 60_000.0
"""Upper limit of a wait; every announcement ends it earlier."""

MALFORMED_STATE_ERRORS = (ValueError, KeyError, TypeError, IndexError, OverflowError)
"""Errors that a replicated state with unexpected fields may raise."""


class StateRequests:
    """Sends the requests that ``StateFetch`` decides on, and records what arrives."""

    def __init__(self, view: FleetView, zone: str, clock: Clock, log: EventLog) -> None:
        self._view = view
        self._clock = clock
        self._log = log
        self._feeds: dict[str, Feed] = {}
        self._fetch = StateFetch(zone, view.received_state.index)
        self._changed = curio.Event()
        self._requested_versions: dict[str, int] = {}
        """By replica, the version that the last request to it named."""

        self._needs_whole = False
        """Whether a difference didn't lead to the document of the replica."""

    def open(self, host: str, feed: Feed) -> None:
        """Use an open feed."""
        self._feeds[host] = feed
        self._fetch.open(host, feed.zone)

    async def close(self, host: str) -> None:
        """Stop using a feed that ended."""
        if self._feeds.pop(host, None) is not None:
            self._requested_versions.pop(host, None)
            self._fetch.close(host)
            await self._changed.set()

    async def announce(self, host: str, index: int) -> None:
        """Record the index that a replica announced."""
        self._fetch.announce(host, index, self._clock())
        if self._fetch.wake_at() is not None:
            await self._changed.set()

    def record_part(self, host: str) -> None:
        """Record that a part of a line arrived."""
        self._fetch.record_progress(host, self._clock())

    async def apply(self, fields: dict[str, Any], host: str) -> None:
        """Apply a copy of the replicated state; log it even if it was not newer.

        A malformed copy is requested again.
        """
        try:
            fields = self._with_document(fields)
            is_applied = self._view.apply_replicated_state(fields, host)
        except MALFORMED_STATE_ERRORS as error:
            self._view.malformed.record("orders", error_text(error))
            self._fetch.record_failure(host, self._clock())
            await self._changed.set()
            return
        except DocumentMismatchError as error:
            self._log.state("document_mismatch", control=host, detail=str(error))
            self._needs_whole |= not self._is_outdated(fields, host)
            self._fetch.record_failure(host, self._clock())
            await self._changed.set()
            return
        self._needs_whole &= not is_applied
        await self._view.finish_loading()
        self._fetch.receive(host, int(fields["index"]), self._clock())
        self._log.state(
            "state_received",
            control=host,
            index=fields.get("index"),
            version=fields.get("version"),
            n_document_chars=len(str(fields.get("document") or "")),
            base_version=_base_version(fields),
            applied=is_applied,
        )
        await self._changed.set()

    def _with_document(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Return the fields with the document, if they have a newer one as a transfer.

        Raise DocumentMismatchError if it can't be built.
        """
        held = self._view.received_state
        if "transfer" not in fields or int(fields["index"]) <= held.index:
            return fields
        document = decode_transfer(fields["transfer"], held.version, held.document)
        return {**fields, "document": document}

    def _is_outdated(self, fields: dict[str, Any], host: str) -> bool:
        """Return whether a difference is from the version held when it was requested.

        Another replica may have delivered a newer version since then.
        """
        requested = self._requested_versions.get(host, 0)
        is_from_requested = _base_version(fields) == requested != 0
        return is_from_requested and requested != self._view.received_state.version

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            self._changed.clear()
            host = self._fetch.next_host(self._clock())
            if host is not None:
                await self._send_request(host)
                continue
            with contextlib.suppress(curio.TaskTimeout):
                async with curio.timeout_after(self._wait_ms() / 1000):
                    await self._changed.wait()

    def _wait_ms(self) -> float:
        wake_at = self._fetch.wake_at()
        if wake_at is None:
            return IDLE_CHECK_MS
        return remaining_ms(wake_at, self._clock())

    async def _send_request(self, host: str) -> None:
        replicated_state = self._view.received_state
        self._log.state(
            "state_requested",
            control=host,
            index=replicated_state.index,
            version=replicated_state.version,
            announced_index=self._view.announced_index,
        )
        version = 0 if self._needs_whole else replicated_state.version
        self._requested_versions[host] = version
        request = {
            "get": 1,
            "index": replicated_state.index,
            "version": version,
            "transfer": 1,
        }
        try:
            await self._feeds[host].send(request)
        except (OSError, curio.TaskTimeout):
            # The task that reads the feed detects a broken connection.
            self._fetch.record_failure(host, self._clock())


def _base_version(fields: dict[str, Any]) -> object:
    """Return the version that the document was sent as a difference from, or None."""
    transfer = fields.get("transfer")
    return transfer.get("base_version") if isinstance(transfer, dict) else None
