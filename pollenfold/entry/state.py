"""The state that an entry builds from lease responses; no I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass

from loguru import logger

from ..core.clock import Instant
from ..core.configuration import (
    ConfigurationView,
    RecordKey,
    Spec,
    build_view,
    record_key,
)
from ..core.directory import LeaveNotice, LeaveNotices, LiveEntry
from ..core.lease import Lease
from ..records.parsing import parse_record
from ..wire.lease import AgedNotice, LeaseRequest, LeaseResponse

MAX_NOTICES = 2000
"""Maximum notices in one request; the rest follow in the next one."""


@dataclass(frozen=True, slots=True)
class Directory:
    """The live entries; revision 0 means that they are not known.

    ``first_seen`` is when this entry first received the revision.
    """

    revision: int = 0
    entries: tuple[LiveEntry, ...] = ()
    first_seen: Instant = Instant(0.0)


class EntryState:
    """Configuration, lease, directory and leave notices of one entry.

    ``request`` builds the next lease request and ``receive`` applies its response;
    responses may arrive late, twice or out of order.
    """

    def __init__(self, entry: LiveEntry) -> None:
        self.entry = entry
        self.lease = Lease()
        self.view = ConfigurationView()
        self.directory = Directory()
        self._notices = LeaveNotices()
        self._reported: dict[str, tuple[int, int]] = {}
        self._specs: dict[RecordKey, Spec] = {}
        self._unreadable: dict[RecordKey, int] = {}
        self._cursor = 0
        self._epoch = 0
        self._notice_sequence = 0

    def request(self, wait_ms: float, now: Instant) -> LeaseRequest:
        """Return a request that reports which revisions and notices this entry has."""
        return LeaseRequest(
            entry=self.entry,
            acknowledged=self.lease.revision,
            cursor=self._cursor,
            directory_revision=self.directory.revision,
            epoch=self._epoch,
            notice_sequence=self._notice_sequence,
            notices=self._unreported(now)[:MAX_NOTICES],
            wait_ms=wait_ms,
            holds_lease=self.lease.is_valid(now),
        )

    def receive(
        self,
        request: LeaseRequest,
        response: LeaseResponse,
        sent_at: Instant,
        now: Instant,
    ) -> bool:
        """Apply the response to a request; return whether anything changed.

        A response from a leader before the latest known one is ignored.
        """
        if response.error is not None or response.epoch < self._epoch:
            return False
        if response.epoch > self._epoch:
            self._epoch = response.epoch
            self._notice_sequence = 0
        for aged in request.notices:
            self._mark_reported(aged.notice)
        is_changed = self._apply_records(response)
        is_changed |= self._apply_notices(response, now)
        is_changed |= self._apply_directory(response, now)
        if self.lease.is_valid(now) or not request.holds_lease:
            # A new leader trusts the request's claim that this entry holds a lease.
            # Once the lease has ended, another entry may have taken its place in the
            # fleet, so a response to an outdated claim must not renew it.
            self.lease.renew(sent_at, response.lease_ms, response.revision, now)
        return is_changed

    def add_notice(self, notice: LeaveNotice, now: Instant) -> bool:
        """Store a leave notice of this entry; return whether it is new."""
        return self._notices.add(notice, 0.0, now)

    def notices(self, now: Instant) -> list[AgedNotice]:
        """Return the leave notices whose retention has not ended."""
        return [
            AgedNotice(notice, age) for _, notice, age in self._notices.since(0, now)
        ]

    def has_unreported(self, now: Instant) -> bool:
        """Return whether the leader lacks leave notices that this entry has."""
        return bool(self._unreported(now))

    def _unreported(self, now: Instant) -> tuple[AgedNotice, ...]:
        known = self.notices(now)
        if len(self._reported) > 2 * len(known) + MAX_NOTICES:
            endpoints = {aged.notice.endpoint for aged in known}
            self._reported = {
                key: value for key, value in self._reported.items() if key in endpoints
            }
        return tuple(
            aged
            for aged in known
            if self._reported.get(aged.notice.endpoint)
            != (aged.notice.incarnation, self._epoch)
        )

    def _mark_reported(self, notice: LeaveNotice) -> None:
        self._reported[notice.endpoint] = (notice.incarnation, self._epoch)

    def _apply_records(self, response: LeaseResponse) -> bool:
        for revision, data in response.records:
            if revision > self._cursor:
                self._apply_record(revision, data)
        self._cursor = max(self._cursor, response.cursor)
        if self._cursor < response.revision or self._cursor <= self.view.revision:
            return False
        self.view = build_view(self._cursor, self._specs.values())
        # A record that can't be parsed keeps its previous spec, and its revision is not
        # acknowledged, so that operators see that it is not in force on this entry.
        acknowledged = min([self._cursor + 1, *self._unreadable.values()]) - 1
        self.lease.advance_revision(acknowledged)
        return True

    def _apply_record(self, revision: int, data: bytes) -> None:
        parsed = parse_record(data, is_stored=True)
        if parsed.is_error():
            logger.error(
                "event=unreadable_record revision={} detail={!r}",
                revision,
                parsed.error.detail,
            )
            key = _guess_key(data)
            self._unreadable.setdefault(key, revision)
            return
        key = record_key(parsed.ok.kind, parsed.ok.name)
        self._specs[key] = parsed.ok.spec
        self._unreadable.pop(key, None)

    def _apply_notices(self, response: LeaseResponse, now: Instant) -> bool:
        is_changed = False
        for aged in response.notices:
            is_changed |= self._notices.add(aged.notice, aged.age_ms, now)
            self._mark_reported(aged.notice)
        self._notice_sequence = max(self._notice_sequence, response.notice_sequence)
        return is_changed

    def _apply_directory(self, response: LeaseResponse, now: Instant) -> bool:
        revision = response.directory_revision
        if revision == 0:
            if self.directory.revision == 0 or self.lease.is_valid(now):
                return False
            # While this entry had no lease, the directory may have changed and changed
            # back, so the old copy is no longer valid.
            self.directory = Directory()
            return True
        if revision <= self.directory.revision:
            return False
        self.directory = Directory(revision, response.directory, now)
        return True


def _guess_key(data: bytes) -> RecordKey:
    """Return the key of a record that can't be parsed, or empty strings."""
    try:
        fields = json.loads(data)
        return str(fields["kind"]), str(fields["name"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return "", ""
