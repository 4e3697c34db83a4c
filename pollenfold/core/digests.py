"""Digests of announcements, so that two sides exchange only what differs.

Endpoints fall into buckets by their id. The digest of a bucket doesn't depend on the
order of its announcements, nor on sequence numbers, which rise with each heartbeat.
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
    """Return the digest of each bucket; 0 stands for an empty one."""
    digests = [0] * N_BUCKETS
    for announcement in announcements:
        digests[bucket(announcement.endpoint_id)] ^= _digest(announcement)
    return digests


def _digest(a: Announcement) -> int:
    is_cold = a.warmup_left_ms > 0
    text = f"{a.endpoint_id} {a.service} {a.host}:{a.port} {a.zone} {a.slots}"
    text += f" {a.born_ms} {a.is_leaving} {is_cold}"
    return int(xxhash.xxh32_intdigest(text.encode()))


def differing(
    announcements: Iterable[Announcement], digests: object
) -> list[Announcement]:
    """Return the announcements in buckets whose digests another side has otherwise.

    Without usable digests of the other side these are all of them.
    """
    known = list(announcements)
    if not isinstance(digests, list) or len(digests) != N_BUCKETS:
        return known
    own = bucket_digests(known)
    is_other = [own[n] != digests[n] for n in range(N_BUCKETS)]
    return [a for a in known if is_other[bucket(a.endpoint_id)]]
