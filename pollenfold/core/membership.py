"""The endpoint table of an entry: incarnation, state, heartbeat counter, merge.

Every entry holds one table. Announcements, table records from peers and leave notices
are merged into it in any order; two tables that have merged the same ones hold the
same endpoints. Each entry decides for itself when an endpoint has expired.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from enum import Enum

import xxhash

from .clock import Instant
from .endpoints import AgedEndpoint as AgedEndpoint
from .endpoints import Endpoint as Endpoint
from .endpoints import EndpointKey as EndpointKey
from .endpoints import LeaveNotice as LeaveNotice
from .endpoints import WarmState as WarmState
from .endpoints import merge_endpoints as merge_endpoints

N_BUCKETS = 64
"""Buckets of the table, each with a fingerprint; only differing ones are resent."""

RETENTION_MS = 24 * 3600 * 1000.0
"""How long a leaving or expired endpoint is kept. A suspended entry or a full socket
buffer can deliver an announcement hours late, and a record needs little memory."""

LEAVE_NOTICE_MS = 60_000.0
"""How long lease renewals repeat a leave notice."""

_LOW_BITS = 16
_LOW_MASK = (1 << _LOW_BITS) - 1


class MergeOutcome(Enum):
    """The effect of a merge on the table."""

    UNCHANGED = "unchanged"
    RENEWED = "renewed"
    """Only the heartbeat counter increased; digest exchanges distribute this."""

    CHANGED = "changed"
    """The record should be sent to peers immediately."""

    LEFT = "left"
    """The endpoint started leaving; peers and the control leader must be notified."""


@dataclass(frozen=True, slots=True)
class Digest:
    """A summary of a table: for each bucket a fingerprint and the counters.

    The fingerprint covers everything except the low 16 bits of the heartbeat
    counters; these are listed in the order of the keys. Equal fingerprints imply
    equal keys, so the counters need no keys: two bytes for each endpoint.
    """

    fingerprints: tuple[int, ...]
    heartbeats: tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class Difference:
    """The response of a table to the digest of another one.

    ``buckets`` differ, and ``entries`` are all records in them. ``heartbeats`` are
    the counters of the equal buckets, in ascending order of the bucket.
    """

    buckets: tuple[int, ...]
    entries: tuple[AgedEndpoint, ...]
    heartbeats: tuple[tuple[int, ...], ...]


class _Record:
    """A table record. The heartbeat counter is stored separately, so that a renewal
    does not replace the endpoint object used for routing."""

    __slots__ = ("endpoint", "heartbeat", "updated_at", "is_expired", "fingerprint")

    def __init__(self, endpoint: Endpoint, updated_at: Instant) -> None:
        self.endpoint = endpoint
        self.heartbeat = endpoint.heartbeat
        self.updated_at = updated_at
        self.is_expired = False
        self.fingerprint = _fingerprint(endpoint)

    @property
    def is_serving(self) -> bool:
        return not self.is_expired and not self.endpoint.is_leaving

    def current(self) -> Endpoint:
        if self.endpoint.heartbeat == self.heartbeat:
            return self.endpoint
        return replace(self.endpoint, heartbeat=self.heartbeat)


def _fingerprint(endpoint: Endpoint) -> int:
    high = endpoint.heartbeat >> _LOW_BITS
    fields = (
        f"{endpoint.service}\0{endpoint.host}\0{endpoint.port}\0{endpoint.zone}\0"
        f"{endpoint.incarnation}\0{high}\0{float(endpoint.ttl_ms)}\0"
        f"{endpoint.slots}\0{endpoint.connections}\0{endpoint.is_leaving:d}\0"
        f"{endpoint.warm.merge_key()}"
    )
    return int(xxhash.xxh3_64_intdigest(fields.encode()))


def _bucket(key: EndpointKey) -> int:
    name = f"{key.service}\0{key.host}\0{key.port}"
    return int(xxhash.xxh3_64_intdigest(name.encode())) % N_BUCKETS


class _Bucket:
    """The records of one bucket, and their summary for the digest."""

    __slots__ = ("records", "_ordered", "_fingerprint")

    def __init__(self) -> None:
        self.records: dict[EndpointKey, _Record] = {}
        self._ordered: list[_Record] | None = None
        self._fingerprint = 0

    def invalidate(self) -> None:
        self._ordered = None

    def ordered(self) -> list[_Record]:
        """Return the records to exchange with peers, sorted by key.

        Expired records stay local: each entry expires endpoints by its own clock.
        """
        if self._ordered is None:
            self._ordered = [
                record
                for _, record in sorted(self.records.items())
                if not record.is_expired
            ]
            fingerprint = 0
            for record in self._ordered:
                fingerprint ^= record.fingerprint
            self._fingerprint = fingerprint
        return self._ordered

    def fingerprint(self) -> int:
        self.ordered()
        return self._fingerprint

    def heartbeats(self) -> tuple[int, ...]:
        return tuple([record.heartbeat & _LOW_MASK for record in self.ordered()])


class EndpointTable:
    """The endpoints that one entry knows.

    For example, ``table.merge(endpoint, now)`` merges an announcement, and
    ``table.endpoints("pearl-market")`` returns the serving endpoints. ``expire`` must
    be called about once a second, since an endpoint past its TTL is returned until
    then.
    """

    def __init__(self) -> None:
        self._buckets = [_Bucket() for _ in range(N_BUCKETS)]
        self._services: dict[str, dict[EndpointKey, _Record]] = {}
        self._serving: dict[str, tuple[Endpoint, ...]] = {}

    def __len__(self) -> int:
        """Return the number of records, including leaving and expired endpoints."""
        return sum(len(bucket.records) for bucket in self._buckets)

    def endpoints(self, service: str) -> tuple[Endpoint, ...]:
        """Return the serving endpoints of a service, sorted by key.

        The same tuple is returned until one of them changes. Renewals do not change
        it, so ``heartbeat`` may be older than in the table; see ``get``.
        """
        serving = self._serving.get(service)
        if serving is None:
            records = self._services.get(service, {})
            serving = tuple(
                record.endpoint
                for _, record in sorted(records.items())
                if record.is_serving
            )
            self._serving[service] = serving
        return serving

    def get(self, key: EndpointKey) -> Endpoint | None:
        """Return the endpoint with this key, even if it is leaving or expired."""
        record = self._services.get(key.service, {}).get(key)
        return None if record is None else record.current()

    def merge(
        self, endpoint: Endpoint, now: Instant, age_ms: float = 0.0
    ) -> MergeOutcome:
        """Merge an announcement, or a table record from a peer with its age."""
        key = endpoint.key
        updated_at = Instant(now - age_ms)
        record = self._services.get(key.service, {}).get(key)
        if record is None:
            if self._is_outdated(endpoint, age_ms):
                return MergeOutcome.UNCHANGED
            self._insert(key, _Record(endpoint, updated_at))
            return MergeOutcome.LEFT if endpoint.is_leaving else MergeOutcome.CHANGED
        before = record.current()
        merged = merge_endpoints(before, endpoint)
        if merged == before:
            return MergeOutcome.UNCHANGED
        is_new = merged.incarnation > before.incarnation
        if is_new and self._is_outdated(endpoint, age_ms):
            return MergeOutcome.UNCHANGED
        if not is_new and self._is_renewal(before, merged):
            return self._renew(record, merged.heartbeat, now, age_ms)
        is_leave = merged.is_leaving and (is_new or not before.is_leaving)
        new_record = _Record(merged, updated_at)
        if not is_new and not is_leave and merged.heartbeat == before.heartbeat:
            # Only a higher heartbeat counter postpones the expiry.
            new_record.updated_at = record.updated_at
            new_record.is_expired = record.is_expired
        elif not is_new and before.is_leaving:
            new_record.updated_at = record.updated_at
        self._insert(key, new_record)
        if is_leave:
            return MergeOutcome.LEFT
        return MergeOutcome.CHANGED

    def apply_leave_notice(self, notice: LeaveNotice, now: Instant) -> MergeOutcome:
        """Mark the incarnation of a notice as leaving, even if it is unknown.

        An unknown endpoint is stored with zero slots, so that an announcement which
        arrives after the notice can't put it into service.
        """
        known = self.get(EndpointKey(notice.service, notice.host, notice.port))
        if known is not None and known.incarnation == notice.incarnation:
            return self.merge(replace(known, is_leaving=True), now)
        leaving = Endpoint(
            service=notice.service,
            host=notice.host,
            port=notice.port,
            zone="",
            incarnation=notice.incarnation,
            heartbeat=0,
            ttl_ms=0.0,
            slots=0,
            connections=0,
            is_leaving=True,
        )
        return self.merge(leaving, now)

    def leave_notices(self, now: Instant) -> tuple[LeaveNotice, ...]:
        """Return the leave notices that the next lease renewal repeats."""
        return tuple(
            LeaveNotice(*record.endpoint.key, record.endpoint.incarnation)
            for record in self._records()
            if record.endpoint.is_leaving and now - record.updated_at <= LEAVE_NOTICE_MS
        )

    def expire(self, now: Instant) -> tuple[Endpoint, ...]:
        """Expire endpoints without new heartbeats; return the newly expired ones.

        Endpoints that left or expired longer than ``RETENTION_MS`` ago are removed.
        """
        expired = []
        for record in list(self._records()):
            endpoint = record.endpoint
            age_ms = now - record.updated_at
            if record.is_serving:
                if age_ms > endpoint.ttl_ms:
                    record.is_expired = True
                    self._invalidate(endpoint.key)
                    expired.append(record.current())
            elif age_ms > RETENTION_MS:
                self._remove(endpoint.key)
        return tuple(expired)

    def entries(self, now: Instant, buckets: Iterable[int]) -> Iterator[AgedEndpoint]:
        """Yield the records of the buckets that are exchanged with peers."""
        for index in buckets:
            for record in self._buckets[index].ordered():
                yield AgedEndpoint(record.current(), max(0.0, now - record.updated_at))

    def digest(self) -> Digest:
        """Return the summary to send to a peer."""
        return Digest(
            tuple([bucket.fingerprint() for bucket in self._buckets]),
            tuple([bucket.heartbeats() for bucket in self._buckets]),
        )

    def difference(
        self, digest: Digest, now: Instant, max_entries: int = 2000
    ) -> Difference:
        """Return the records and counters that the sender of a digest may lack.

        About ``max_entries`` records are returned at most; the remaining buckets
        follow in the next exchange.
        """
        differing: list[int] = []
        entries: list[AgedEndpoint] = []
        heartbeats = []
        for index, bucket in enumerate(self._buckets):
            if bucket.fingerprint() == digest.fingerprints[index]:
                heartbeats.append(bucket.heartbeats())
                continue
            n_entries = len(entries) + len(bucket.ordered())
            if entries and n_entries > max_entries:
                heartbeats.append(())
                continue
            differing.append(index)
            entries.extend(self.entries(now, (index,)))
        return Difference(tuple(differing), tuple(entries), tuple(heartbeats))

    def renew(self, digest: Digest, now: Instant) -> int:
        """Apply higher counters from equal buckets; return the number of renewals."""
        n_renewed = 0
        for index, bucket in enumerate(self._buckets):
            if bucket.fingerprint() == digest.fingerprints[index]:
                n_renewed += self._renew_bucket(bucket, digest.heartbeats[index], now)
        return n_renewed

    def renew_from_difference(
        self, sent_digest: Digest, difference: Difference, now: Instant
    ) -> int:
        """Apply the counters that a peer returned for ``sent_digest``.

        Buckets that have changed since the digest was computed are skipped.
        """
        differing = set(difference.buckets)
        equal = [index for index in range(N_BUCKETS) if index not in differing]
        n_renewed = 0
        for index, heartbeats in zip(equal, difference.heartbeats, strict=True):
            bucket = self._buckets[index]
            if bucket.fingerprint() == sent_digest.fingerprints[index]:
                n_renewed += self._renew_bucket(bucket, heartbeats, now)
        return n_renewed

    def _renew_bucket(
        self, bucket: _Bucket, heartbeats: Sequence[int], now: Instant
    ) -> int:
        records = bucket.ordered()
        if len(records) != len(heartbeats):
            return 0
        n_renewed = 0
        for record, low_bits in zip(records, heartbeats, strict=True):
            # The high bits are equal, because the fingerprint covers them.
            if low_bits > record.heartbeat & _LOW_MASK:
                record.heartbeat = (record.heartbeat & ~_LOW_MASK) | low_bits
                if not record.endpoint.is_leaving:
                    record.updated_at = now
                n_renewed += 1
        return n_renewed

    def _renew(
        self, record: _Record, heartbeat: int, now: Instant, age_ms: float
    ) -> MergeOutcome:
        was_expired = record.is_expired
        is_high_part_equal = heartbeat >> _LOW_BITS == record.heartbeat >> _LOW_BITS
        record.heartbeat = heartbeat
        if not record.endpoint.is_leaving:
            record.updated_at = Instant(now - age_ms)
            record.is_expired = age_ms > record.endpoint.ttl_ms
        if not is_high_part_equal:
            record.fingerprint = _fingerprint(record.current())
            self._buckets[_bucket(record.endpoint.key)].invalidate()
        if was_expired != record.is_expired:
            self._invalidate(record.endpoint.key)
            return MergeOutcome.CHANGED
        return MergeOutcome.RENEWED

    @staticmethod
    def _is_renewal(before: Endpoint, merged: Endpoint) -> bool:
        return replace(merged, heartbeat=before.heartbeat) == before

    @staticmethod
    def _is_outdated(endpoint: Endpoint, age_ms: float) -> bool:
        """Return whether the sender was about to expire or remove the record."""
        return age_ms > (RETENTION_MS if endpoint.is_leaving else endpoint.ttl_ms)

    def _records(self) -> Iterator[_Record]:
        for bucket in self._buckets:
            yield from bucket.records.values()

    def _insert(self, key: EndpointKey, record: _Record) -> None:
        self._buckets[_bucket(key)].records[key] = record
        self._services.setdefault(key.service, {})[key] = record
        self._invalidate(key)

    def _remove(self, key: EndpointKey) -> None:
        del self._buckets[_bucket(key)].records[key]
        records = self._services[key.service]
        del records[key]
        if not records:
            del self._services[key.service]
        self._invalidate(key)

    def _invalidate(self, key: EndpointKey) -> None:
        self._buckets[_bucket(key)].invalidate()
        self._serving.pop(key.service, None)
