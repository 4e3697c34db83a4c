"""Handles lease requests from entries on the control leader."""

from __future__ import annotations

import math

from loguru import logger

from ..core.clock import add_ms, remaining_ms
from ..core.configuration import records_since
from ..core.directory import EntryDirectory, LiveEntry
from ..core.errors import ErrorKind, Failure
from ..wire.lease import (
    AgedNotice,
    LeaseRequest,
    LeaseResponse,
    decode_request,
    encode_response,
)
from .state import ControlState, Leadership

MAX_WAIT_MS = 500.0
"""A long poll without updates completes after this time."""

MAX_RECORDS_BYTES = 384 * 1024
"""Limit of the records in one response; the rest of a frame holds the largest directory
and notices."""

MAX_NOTICES = 2000
MAX_TEXT_CHARACTERS = 64


class LeaseService:
    """Handles ``Protocol.LEASE``.

    ``peers`` maps replica ids to peer addresses; followers redirect entries to the
    address of the leader.
    """

    def __init__(self, state: ControlState, peers: dict[str, tuple[str, int]]) -> None:
        self._state = state
        self._peers = peers

    async def handle(self, payload: bytes) -> bytes:
        """Respond to one request when there are updates, or after its wait time."""
        request = decode_request(payload)
        if request.is_error():
            logger.warning("event=bad_lease_request detail={!r}", request.error.detail)
            return encode_response(_refusal(request.error))
        return encode_response(await self._respond(request.ok))

    async def _respond(self, request: LeaseRequest) -> LeaseResponse:
        problem = _check_request(request)
        if problem is not None:
            return _refusal(problem)
        started = self._state.clock()
        deadline = add_ms(started, min(request.wait_ms, MAX_WAIT_MS))
        leadership = self._state.leadership()
        if leadership is None:
            return self._redirect_to_leader()
        refusal = await self._merge_report(leadership.directory, request)
        if refusal is not None:
            return _refusal(refusal)
        while True:
            now = self._state.clock()
            if self._state.leadership() is not leadership:
                return self._redirect_to_leader()
            # The lease may have ended, or the limit changed, during the wait.
            refusal = self._check(leadership.directory, request)
            if refusal is not None:
                return _refusal(refusal)
            if now >= deadline or self._has_updates(leadership.directory, request):
                return await self._grant(leadership, request)
            await self._state.notifier.wait(remaining_ms(deadline, now))

    def _check(
        self, directory: EntryDirectory, request: LeaseRequest
    ) -> Failure | None:
        now = self._state.clock()
        revision = self._state.configuration.revision
        max_entries, limit_revision = self._state.max_entries()
        if request.acknowledged > revision:
            # A leader has every accepted change, since it applies a barrier first. So
            # the entry belongs to another system, or accepted changes were lost.
            detail = f"got revision {request.acknowledged}, expected at most {revision}"
            return Failure(ErrorKind.BAD_REQUEST, detail)
        admits_new = directory.in_force_revision(revision, now) >= limit_revision
        return directory.check_lease(
            request.entry, request.holds_lease, max_entries, admits_new, now
        )

    async def _merge_report(
        self, directory: EntryDirectory, request: LeaseRequest
    ) -> Failure | None:
        """Merge the reported notices and revision; return why a lease is refused."""
        now = self._state.clock()
        is_new = [
            directory.notices.add(aged.notice, aged.age_ms, now)
            for aged in request.notices
        ]
        directory.acknowledge(request.entry, request.acknowledged)
        refusal = self._check(directory, request)
        is_changed = False
        if refusal is None:
            is_changed = directory.grant(request.entry, request.acknowledged, now)
        if any(is_new) or is_changed:
            await self._state.notifier.notify()
        return refusal

    def _has_updates(self, directory: EntryDirectory, request: LeaseRequest) -> bool:
        published = directory.published_revision(self._state.clock())
        return (
            request.epoch != directory.epoch
            or request.cursor < self._state.configuration.revision
            or (published != 0 and request.directory_revision != published)
            or request.notice_sequence < directory.notices.sequence
        )

    async def _grant(
        self, leadership: Leadership, request: LeaseRequest
    ) -> LeaseResponse:
        directory = leadership.directory
        now = self._state.clock()
        if directory.grant(request.entry, request.acknowledged, now):
            await self._state.notifier.notify()
        revision = self._state.configuration.revision
        records, cursor = self._next_records(request.cursor)
        last_sequence = (
            request.notice_sequence if request.epoch == directory.epoch else 0
        )
        notices = directory.notices.since(last_sequence, now)[:MAX_NOTICES]
        published = directory.published_revision(now)
        is_same = published == request.directory_revision
        return LeaseResponse(
            lease_ms=self._state.lease_ms,
            epoch=directory.epoch,
            revision=revision,
            records=records,
            cursor=cursor,
            directory_revision=published,
            directory=() if is_same or not published else directory.live_entries(),
            notice_sequence=notices[-1][0] if notices else directory.notices.sequence,
            notices=tuple(AgedNotice(notice, age) for _, notice, age in notices),
        )

    def _next_records(self, after: int) -> tuple[tuple[tuple[int, bytes], ...], int]:
        """Return the next records after a revision, and the last revision covered."""
        records: list[tuple[int, bytes]] = []
        n_bytes = 0
        for stored in records_since(self._state.configuration, after):
            n_bytes += len(stored.data)
            if n_bytes > MAX_RECORDS_BYTES:
                return tuple(records), records[-1][0]
            records.append((stored.revision, stored.data))
        return tuple(records), self._state.configuration.revision

    def _redirect_to_leader(self) -> LeaseResponse:
        replica = self._state.replica
        if replica.is_leader():
            return LeaseResponse(ErrorKind.NOT_READY, "the leader is starting")
        leader = self._peers.get(replica.leader_id() or "")
        return LeaseResponse(ErrorKind.NOT_LEADER, "", leader)


def _refusal(failure: Failure) -> LeaseResponse:
    return LeaseResponse(failure.kind, failure.detail)


def _check_request(request: LeaseRequest) -> Failure | None:
    """Reject invalid values before they are stored or sent to other entries."""
    entry: LiveEntry = request.entry
    texts = [entry.entry_id, entry.host, entry.zone]
    for aged in request.notices:
        texts += [aged.notice.endpoint, aged.notice.service]
    if not all(0 < len(text) <= MAX_TEXT_CHARACTERS for text in texts):
        return Failure(
            ErrorKind.BAD_REQUEST,
            f"expected names of 1 to {MAX_TEXT_CHARACTERS} characters",
        )
    if len(request.notices) > MAX_NOTICES:
        detail = f"expected at most {MAX_NOTICES} notices, got {len(request.notices)}"
        return Failure(ErrorKind.BAD_REQUEST, detail)
    if not math.isfinite(request.wait_ms):
        return Failure(ErrorKind.BAD_REQUEST, "wait_ms: expected a finite number")
    return None
