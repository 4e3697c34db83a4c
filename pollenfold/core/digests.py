"""Digests of announcements, with which two processes exchange only the differences.

Endpoints are hashed into buckets by id. The digest of a bucket depends neither on the
order of its announcements nor on their sequence numbers, which rise with each
heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from .registry import Announcement

N_BUCKETS = 16


def bucket(endpoint_id: str) -> int:
    """Return the bucket of an endpoint."""
    return int(xxhash.xxh32_intdigest(endpoint_id.encode())) % N_BUCKETS


def bucket_digests(announcements: Iterable[Announcement]) -> list[int]:
    """Return the digest of each bucket; an empty bucket has the digest 0."""
    digests = [0] * N_BUCKETS
    for announcement in announcements:
        digests[bucket(announcement.endpoint_id)] ^= _digest(announcement)
    return digests


def _digest(a: Announcement) -> int:
    is_cold = a.warmup_left_ms > 0
    text = f"{a.endpoint_id} {a.service} {a.host}:{a.port} {a.zone} {a.slots}"
    text += f" {a.born_ms} {a.is_leaving} {is_cold}"
    if a.version:
        # Without versions the digests are those of an earlier version.
        text += f" {a.version}"
    return int(xxhash.xxh32_intdigest(text.encode()))


def differing_announcements(
    announcements: Iterable[Announcement], digests: object
) -> list[Announcement]:
    """Return the announcements in the buckets whose digests differ from the peer's.

    Without valid digests from the peer, return all announcements.
    """
    known = list(announcements)
    if not isinstance(digests, list) or len(digests) != N_BUCKETS:
        return known
    own = bucket_digests(known)
    differs = [own[n] != digests[n] for n in range(N_BUCKETS)]
    return [a for a in known if differs[bucket(a.endpoint_id)]]
