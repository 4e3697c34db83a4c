"""Tests that digests differ exactly where the announcements do."""

from dataclasses import replace

import pytest

from pollenfold.core.digests import bucket_digests, differing_announcements
from pollenfold.core.registry import Announcement

KNOWN = [
    Announcement(f"i-{n}", "s", "10.0.0.1", n, "a", 4, False, 0.0, 1, 1)
    for n in range(50)
]


@pytest.mark.parametrize(
    "change",
    [
        {"is_leaving": True},
        {"born_ms": 2},
        {"port": 99},
        {"service": "t"},
        {"warmup_left_ms": 5.0},
    ],
)
def test_changed_announcement_differs(change):
    """Guards against a change that the digest misses, so an entry keeps stale data."""
    changed = [replace(KNOWN[0], **change), *KNOWN[1:]]
    assert changed[0] in differing_announcements(changed, bucket_digests(KNOWN))


def test_order_and_heartbeats_keep_the_digest():
    """Guards against resending lists because of heartbeats alone."""
    heartbeated = [replace(a, sequence=9) for a in reversed(KNOWN)]
    assert differing_announcements(heartbeated, bucket_digests(KNOWN)) == []


@pytest.mark.parametrize("digests", [None, "x", [1, 2], [0] * 16])
def test_subscriber_without_valid_digests_gets_all(digests):
    """Guards against a list that stays empty for a subscriber of another version."""
    assert differing_announcements(KNOWN, digests) == KNOWN
