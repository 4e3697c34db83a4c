"""Announced endpoints, and which of them may receive new requests.

Announcements may arrive late, repeatedly and out of order. An incarnation of an
endpoint is identified by its id and start time; among the announcements of one
incarnation the highest sequence number is the newest.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from reprlib import repr as short_repr

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
    endpoint remains cold.
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
        """Return the fields as JSON values."""
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


def decode_aged_announcement(item: object) -> tuple[Announcement, float]:
    """Decode an announcement and the ms since a control replica received it.

    Raise ValueError if they are malformed.
    """
    match item:
        case [fields, age_ms] if is_magnitude(age_ms):
            return decode_announcement(fields), float(age_ms)
    raise ValueError(f"expected an announcement and its age, got {short_repr(item)}")


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
        if record is not None and announcement.sort_key <= record.announcement.sort_key:
            if announcement.sort_key == record.announcement.sort_key:
                record.received_at = now
            return False
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


def _has_update(before: Announcement, after: Announcement) -> bool:
    """Return whether more changed than the sequence and a shorter warm-up time."""
    return (
        before.born_ms != after.born_ms
        or before.service != after.service
        or (before.host, before.port) != (after.host, after.port)
        or before.zone != after.zone
        or before.slots != after.slots
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
