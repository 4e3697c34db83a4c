"""Keeps the configuration and the lease of this entry up to date."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import curio
from loguru import logger

from ..core.clock import Clock, Instant
from ..core.configuration import ConfigurationView
from ..core.directory import LeaveNotice, LiveEntry
from ..core.errors import ErrorKind
from ..wire.lease import (
    AgedNotice,
    LeaseRequest,
    LeaseResponse,
    decode_request,
    encode_response,
)
from .control_route import Address, ControlRoute
from .state import Directory, EntryState

POLL_WAIT_MS = 400.0
"""How long the leader may hold a request until it has updates (long poll). Each
response renews the lease from the time its request was sent, so at least 1.2 s of the
lease always remain: enough for an election (0.8 s at most) and one lost exchange."""

RETRY_MS = 100.0
FLEET_FULL_RETRY_MS = 500.0


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """The address and ports on which an entry listens."""

    host: str
    caller_port: int
    platform_port: int
    peer_port: int


def _start_incarnation() -> int:
    """Return a number that is higher for every later process on this VM.

    This holds unless the wall clock is set back.
    """
    return time.time_ns() // 1_000_000


class ConfigurationClient:
    """Renews the lease of this entry and follows the configuration.

    ``control`` lists the peer addresses of the control replicas. ``peers`` returns
    the addresses (host, peer port) of other entries that can forward a renewal; if it
    is None, the entries of the directory are used. ``on_change`` is called after the
    view, the directory or the leave notices changed.

    For example, an entry registers ``forward`` for ``Protocol.LEASE`` on its peer
    port, spawns ``run`` and checks ``has_lease(clock())`` before each dispatch.
    """

    def __init__(
        self,
        entry_id: str,
        addresses: EntryAddresses,
        zone: str,
        control: list[Address],
        peers: Callable[[], Iterable[Address]] | None,
        clock: Clock,
        *,
        on_change: Callable[[], None] | None = None,
        incarnation: int | None = None,
    ) -> None:
        entry = LiveEntry(
            entry_id,
            _start_incarnation() if incarnation is None else incarnation,
            addresses.host,
            addresses.caller_port,
            addresses.platform_port,
            addresses.peer_port,
            zone,
        )
        self.on_change = on_change
        self._clock = clock
        self._state = EntryState(entry)
        self._route = ControlRoute(control, peers or self._directory_peers, clock)
        self._wake = curio.Event()
        self._refusal: ErrorKind | None = None

    def view(self) -> ConfigurationView:
        """Return the newest configuration that this entry has."""
        return self._state.view

    def has_lease(self, now: Instant) -> bool:
        """Return whether this entry may accept new requests."""
        return self._state.lease.is_valid(now)

    def lease_since(self) -> Instant:
        """Return when the current uninterrupted lease began."""
        return self._state.lease.started_at

    def directory(self) -> Directory:
        """Return the live entries, their revision and when it was first seen."""
        return self._state.directory

    def leave_notices(self) -> list[AgedNotice]:
        """Return the leave notices whose retention has not ended."""
        return self._state.notices(self._clock())

    async def add_leave_notice(self, notice: LeaveNotice) -> None:
        """Report that an endpoint is leaving; the notice is sent immediately."""
        if self._state.add_notice(notice, self._clock()):
            await self._wake.set()

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        try:
            async with curio.TaskGroup() as group:
                await group.spawn(self._poll)
                await group.spawn(self._renew)
        finally:
            await self._route.close()

    async def forward(self, payload: bytes) -> bytes:
        """Forward a lease request of a peer to the leader, one hop only."""
        decoded = decode_request(payload)
        if decoded.is_error():
            failure = decoded.error
            return encode_response(LeaseResponse(failure.kind, failure.detail))
        unreachable = encode_response(LeaseResponse(ErrorKind.UNREACHABLE))
        if decoded.ok.is_forwarded:
            return unreachable
        request: LeaseRequest = replace(
            decoded.ok,
            is_forwarded=True,
            wait_ms=min(decoded.ok.wait_ms, POLL_WAIT_MS),
        )
        exchanged = await self._route.exchange(request, is_direct=True)
        return unreachable if exchanged is None else encode_response(exchanged[0])

    async def _poll(self) -> None:
        """Renew the lease by long polls until cancelled."""
        while True:
            error = await self._exchange(POLL_WAIT_MS)
            if error is ErrorKind.FLEET_FULL:
                await curio.sleep(FLEET_FULL_RETRY_MS / 1000)
            elif error is not None:
                await curio.sleep(RETRY_MS / 1000)

    async def _renew(self) -> None:
        """Send an extra renewal as soon as there is something to report."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._exchange(0.0)

    async def _exchange(self, wait_ms: float) -> ErrorKind | None:
        """Request one renewal; return why it was refused, or None."""
        request = self._state.request(wait_ms, self._clock())
        exchanged = await self._route.exchange(request)
        error = ErrorKind.UNREACHABLE
        if exchanged is not None:
            response, sent_at = exchanged
            if response.error is None:
                await self._receive(request, response, sent_at)
                return self._record_refusal(None, "")
            error = response.error
            return self._record_refusal(error, response.detail)
        return self._record_refusal(error, "no control replica leads")

    async def _receive(
        self, request: LeaseRequest, response: LeaseResponse, sent_at: Instant
    ) -> None:
        acknowledged = self._state.lease.revision
        is_changed = self._state.receive(request, response, sent_at, self._clock())
        if is_changed and self.on_change is not None:
            self.on_change()
        if self._state.lease.revision != acknowledged or self._state.has_unreported(
            self._clock()
        ):
            # Acknowledges the revision to the leader without waiting for the next poll.
            await self._wake.set()

    def _record_refusal(self, error: ErrorKind | None, detail: str) -> ErrorKind | None:
        if error is not self._refusal:
            self._refusal = error
            kind = "none" if error is None else error.value
            logger.info("event=lease_renewal refusal={} detail={!r}", kind, detail)
        return error

    def _directory_peers(self) -> list[Address]:
        own = self._state.entry.entry_id
        return [
            (entry.host, entry.peer_port)
            for entry in self._state.directory.entries
            if entry.entry_id != own
        ]
