"""Tests of the link model: its backlog, and the pacing of long bodies."""

from pollenfold.core.clock import Instant
from pollenfold.core.link import Link

RATE = 256.0
"""Bytes per millisecond, about 2 Mbit/s."""


def test_unknown_link_rate_disables_backlog_and_pacing():
    """Guards against delays on a machine whose settings lack the link rate."""
    link = Link()
    link.record_received(1 << 20, Instant(0.0))
    link.record_sent(1 << 20, Instant(0.0))
    assert link.backlog_ms(Instant(0.0)) == 0.0
    assert link.piece_bytes == 0
    assert link.reserve_piece(1 << 20, Instant(0.0)) == 0.0


def test_end_of_a_body_can_be_read_before_the_link_is_idle():
    """Guards against probes that time out behind the end of an upload."""
    link = Link(RATE)
    link.record_received(25_600, since=Instant(1_000.0))
    assert link.backlog_ms(Instant(1_060.0)) == 40.0
    assert link.backlog_ms(Instant(1_200.0)) == 0.0


def test_concurrent_bodies_queue_behind_each_other():
    """Guards against a model that carries two bodies in the time of one."""
    link = Link(RATE)
    link.record_received(25_600, since=Instant(0.0))
    link.record_received(25_600, since=Instant(0.0))
    assert link.backlog_ms(Instant(0.0)) == 200.0


def test_long_bodies_are_paced_below_the_link_rate():
    """Guards against a queue on the link that delays short messages.

    It builds up when several concurrent uploads pass one entry with a slow link.
    """
    link = Link(RATE)
    assert link.piece_bytes > 0
    now = 0.0
    n_bytes = 0
    while n_bytes < 3 * 60_000:
        wait_ms = link.reserve_piece(link.piece_bytes, Instant(now))
        now += wait_ms
        link.record_sent(link.piece_bytes, Instant(now))
        n_bytes += link.piece_bytes
        assert link.backlog_ms(Instant(now)) <= 20.0
    assert n_bytes / now <= RATE


def test_fast_link_uses_long_pieces():
    """Guards against thousands of wake-ups for one body on a fast link."""
    assert Link(125_000.0).piece_bytes >= 1 << 20
