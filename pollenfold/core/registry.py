"""Announced endpoints, and which of them may receive new requests.

Announcements may arrive late, repeatedly and out of order. An incarnation of an
endpoint is identified by its id and start time; among the announcements of one
incarnation the highest sequence number is the newest.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from reprlib import repr as short_repr
from typing import Any

from .clock import Instant
from .input_limits import (
    MAX_SLOTS,
    MAX_WARMUP_MS,
    is_endpoint_id,
    is_ip_address,
    is_magnitude,
    is_name,
    is_port,
    is_whole_number,
)
from .replicated_state import ReplicatedState


@dataclass(frozen=True, slots=True)
class Announcement:
    """The state that an endpoint announces.

    ``born_ms`` is its start time in ms since 1970 by its own clock, used only to order
    the incarnations of one id or one address. ``warmup_left_ms`` is how long the
    endpoint remains cold. ``version`` is the version of its service, empty if it
    announces none; it is constant during one incarnation.
    """

    endpoint_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_leaving: bool
    warmup_left_ms: float
    born_ms: int
    sequence: int
    version: str = ""

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the sort key of the announcements of one id."""
        return self.born_ms, self.sequence

    @property
    def address(self) -> str:
        """The address as it stands in a URL, for example ``10.0.0.1:80``."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def encode(self) -> list[object]:
        """Return the fields as JSON values, without the version.

        Processes of an earlier version accept no further fields, so versions are sent
        apart from announcements (``versions_by_id``).
        """
        return [
            self.endpoint_id,
            self.service,
            self.host,
            self.port,
            self.zone,
            self.slots,
            self.is_leaving,
            self.warmup_left_ms,
            self.born_ms,
            self.sequence,
        ]


def decode_announcement(fields: object) -> Announcement:
    """Decode the fields of ``encode``.

    Raise ValueError if they are malformed or beyond the limits of ``input_limits``.
    """
    match fields:
        case [
            endpoint_id,
            service,
            host,
            port,
            zone,
            slots,
            bool(is_leaving),
            warmup_left_ms,
            born_ms,
            sequence,
        ] if (
            is_endpoint_id(endpoint_id)
            and is_name(service)
            and is_ip_address(host)
            and is_port(port)
            and is_name(zone)
            and is_whole_number(slots, MAX_SLOTS)
            and is_magnitude(warmup_left_ms, MAX_WARMUP_MS)
            and is_whole_number(born_ms)
            and is_whole_number(sequence)
        ):
            return Announcement(
                endpoint_id,
                service,
                host,
                port,
                zone,
                slots,
                is_leaving,
                float(warmup_left_ms),
                born_ms,
                sequence,
            )
    raise ValueError(
        f"expected the fields of an announcement, got {short_repr(fields)}"
    )


def decode_aged_announcement(
    item: object, versions: object = None
) -> tuple[Announcement, float]:
    """Decode an announcement and the ms since a control replica received it.

    ``versions`` are those of the line, by endpoint id. Raise ValueError if the
    announcement or its version is malformed.
    """
    match item:
        case [fields, age_ms] if is_magnitude(age_ms):
            announcement = with_version(decode_announcement(fields), versions)
            return announcement, float(age_ms)
    raise ValueError(f"expected an announcement and its age, got {short_repr(item)}")


def versions_by_id(announcements: Iterable[Announcement]) -> dict[str, str]:
    """Return the version of each announced endpoint that has one, by endpoint id."""
    return {a.endpoint_id: a.version for a in announcements if a.version}


def announcements_line(
    aged_announcements: list[tuple[Announcement, float]],
) -> dict[str, Any]:
    """Return the parts of a feed line with announcements, their ages and versions."""
    items = [[a.encode(), age_ms] for a, age_ms in aged_announcements]
    line: dict[str, Any] = {"announcements": items}
    versions = versions_by_id(a for a, _ in aged_announcements)
    if versions:
        line["versions"] = versions
    return line


def with_version(announcement: Announcement, versions: object) -> Announcement:
    """Return an announcement with its version of ``versions_by_id``, if that has one.

    Raise ValueError if the version is malformed.
    """
    if not isinstance(versions, dict):
        return announcement
    version = versions.get(announcement.endpoint_id, "")
    if version == "":
        return announcement
    if not is_name(version):
        raise ValueError(f"expected the version of {announcement.endpoint_id}")
    return replace(announcement, version=version)


@dataclass(slots=True)
class EndpointRecord:
    """The newest announcement of an endpoint.

    ``announced_at`` is when it was first received, and ``received_at`` when it or a
    repetition of it was last received.
    """

    announcement: Announcement
    announced_at: Instant
    received_at: Instant


class Registry:
    """The newest announcement of each endpoint."""

    def __init__(self) -> None:
        self._records: dict[str, EndpointRecord] = {}
        self._by_address: dict[tuple[str, int], str] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, endpoint_id: str) -> bool:
        return endpoint_id in self._records

    def get(self, endpoint_id: str) -> Announcement | None:
        """Return the newest announcement of an endpoint."""
        record = self._records.get(endpoint_id)
        return None if record is None else record.announcement

    def get_record(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the newest announcement of an endpoint and its receive times."""
        return self._records.get(endpoint_id)

    def merge(self, announcement: Announcement, now: Instant) -> bool:
        """Merge an announcement; return whether it contains an update.

        A repeated or older announcement changes nothing. If two endpoints announce
        the same address, the one that started later keeps it, since the announcement
        of the earlier one must have been delayed.
        """
        endpoint_id = announcement.endpoint_id
        record = self._records.get(endpoint_id)
        if record is not None:
            announcement = _with_known_version(announcement, record.announcement)
        if record is not None and announcement.sort_key <= record.announcement.sort_key:
            if announcement.sort_key == record.announcement.sort_key:
                record.received_at = now
            return _learn_version(record, announcement)
        address = (announcement.host, announcement.port)
        current_owner = self.get(self._by_address.get(address, ""))
        if current_owner is not None and current_owner.endpoint_id != endpoint_id:
            if current_owner.born_ms > announcement.born_ms:
                return False
            self.remove(current_owner.endpoint_id)
        if record is not None:
            self.remove(endpoint_id)
        self._records[endpoint_id] = EndpointRecord(announcement, now, now)
        self._by_address[address] = endpoint_id
        return record is None or _has_update(record.announcement, announcement)

    def renew(self, endpoint_id: str, now: Instant) -> None:
        """Record that an endpoint repeated its newest announcement."""
        record = self._records.get(endpoint_id)
        if record is not None:
            record.received_at = now

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        record = self._records.pop(endpoint_id, None)
        if record is None:
            return
        address = (record.announcement.host, record.announcement.port)
        if self._by_address.get(address) == endpoint_id:
            del self._by_address[address]

    def expire(self, received_before: Instant) -> list[str]:
        """Remove endpoints with no announcement since an instant; return their ids."""
        expired = [
            k for k, v in self._records.items() if v.received_at < received_before
        ]
        for endpoint_id in expired:
            self.remove(endpoint_id)
        return expired

    def records(self) -> Iterable[EndpointRecord]:
        """Return the newest announcement of each endpoint and its receive times."""
        return self._records.values()

    def announcements(self) -> Iterable[Announcement]:
        """Return the newest announcement of each endpoint."""
        return [record.announcement for record in self._records.values()]


def _with_known_version(
    announcement: Announcement, known: Announcement
) -> Announcement:
    """Return an announcement with the version that its incarnation is known to have.

    A replica of an earlier version relays announcements without their versions.
    """
    if announcement.version or known.born_ms != announcement.born_ms:
        return announcement
    return (
        replace(announcement, version=known.version) if known.version else announcement
    )


def _learn_version(record: EndpointRecord, announcement: Announcement) -> bool:
    """Take the version of an announcement if a copy without it came first."""
    known = record.announcement
    if known.version or not announcement.version:
        return False
    if known.born_ms != announcement.born_ms:
        return False
    record.announcement = replace(known, version=announcement.version)
    return True


def _has_update(before: Announcement, after: Announcement) -> bool:
    """Return whether more changed than the sequence and a shorter warm-up time."""
    return (
        before.born_ms != after.born_ms
        or before.service != after.service
        or (before.host, before.port) != (after.host, after.port)
        or before.zone != after.zone
        or before.slots != after.slots
        or before.version != after.version
        or before.is_leaving != after.is_leaving
        or (before.warmup_left_ms > 0) != (after.warmup_left_ms > 0)
        or after.warmup_left_ms > before.warmup_left_ms
    )


def accepts_new_requests(announcement: Announcement, state: ReplicatedState) -> bool:
    """Return whether new requests may go to an endpoint, cold or warm."""
    return (
        not announcement.is_leaving
        and announcement.zone not in state.evacuated
        and not state.has_departed(announcement.endpoint_id, announcement.born_ms)
    )
