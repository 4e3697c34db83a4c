"""Transfers of snapshots with failed calls, between a leader and one follower."""

import os
from dataclasses import replace

import pytest

from pollenfold.core.agreement.consensus import initial_state, step
from pollenfold.core.agreement.documents import document_bytes
from pollenfold.core.agreement.log import Log, Snapshot
from pollenfold.core.agreement.members import encode_members
from pollenfold.core.agreement.messages import (
    AppendRequest,
    AppendResponse,
    Receive,
    SendFailed,
    SnapshotRequest,
    Tick,
)
from pollenfold.core.agreement.replication import SNAPSHOT_CHUNK_BYTES
from pollenfold.core.agreement.state import HEARTBEAT_MS, Progress, Role
from pollenfold.core.clock import Instant, add_ms
from pollenfold.core.compression import compress

LEADER, FOLLOWER = "a:1/x", "b:1/x"
SNAPSHOT_INDEX = 50
N_TICKS = 200


def replica(replica_id, log, now):
    return initial_state(
        replica_id, frozenset({replica_id}), "i", False, None, log, now, 400.0, True
    )


def leader_with_snapshot(data, now):
    """Return a leader whose follower lacks the snapshot and accepts compressed ones."""
    members = encode_members(frozenset({LEADER, FOLLOWER}))
    log = Log(snapshot=Snapshot(SNAPSHOT_INDEX, 1, members + b"\n" + data))
    state = replica(LEADER, log, now)
    progress = Progress(1, now, incarnation="i", accepts_compressed=True)
    return replace(
        state,
        term=1,
        role=Role.LEADER,
        leader_id=LEADER,
        progress={FOLLOWER: progress},
        wake_at=now,
    )


def sends(actions):
    return [a.message for a in actions if hasattr(a, "message")]


def heartbeat(leader, follower, now):
    """Let the follower answer a heartbeat, as it does while a chunk is on its way."""
    leader, actions = step(replace(leader, wake_at=now), Tick(), now, 400.0)
    for message in sends(actions):
        if isinstance(message.body, AppendRequest):
            follower, responses = step(follower, Receive(message), now, 400.0)
            for response in sends(responses):
                leader, _ = step(leader, Receive(response), now, 400.0)
    return leader, follower


def transfer_calls(data, fails):
    """Carry heartbeats and chunks; return how many chunks it took, or None.

    ``fails`` returns whether the call with the chunk of a number fails.
    """
    now = Instant(10_000.0)
    leader = leader_with_snapshot(data, now)
    follower = replica(FOLLOWER, Log(), now)
    n_chunks = 0
    for _ in range(N_TICKS):
        now = add_ms(now, HEARTBEAT_MS)
        # Nothing here depends on when the tick was due.
        leader, actions = step(replace(leader, wake_at=now), Tick(), now, 400.0)
        messages = sends(actions)
        while messages:
            now = add_ms(now, 1.0)
            message = messages.pop(0)
            if isinstance(message.body, SnapshotRequest):
                n_chunks += 1
                now = add_ms(now, HEARTBEAT_MS)
                leader, follower = heartbeat(leader, follower, now)
                if fails(n_chunks):
                    leader, _ = step(leader, SendFailed(message), now, 400.0)
                    continue
            follower, actions = step(follower, Receive(message), now, 400.0)
            for response in sends(actions):
                leader, actions = step(leader, Receive(response), now, 400.0)
                messages += sends(actions)
            if follower.log.snapshot.index == SNAPSHOT_INDEX:
                return n_chunks
    return None


@pytest.mark.parametrize("n_between", [1_000, 4, 3])
def test_snapshot_arrives_although_single_calls_fail(n_between):
    """Guards against a transfer that starts again from the first chunk, or never ends,
    when the call of one chunk fails: what arrived before is still at the follower."""
    data = os.urandom(5 * SNAPSHOT_CHUNK_BYTES)
    assert len(compress(data)) > 5 * SNAPSHOT_CHUNK_BYTES
    n_calls = transfer_calls(data, lambda number: number % n_between == 0)
    # Six chunks, and at most one more for each third one that fails.
    assert n_calls is not None and n_calls <= 9


def test_late_heartbeat_response_keeps_the_offset_of_the_last_chunk():
    """Guards against a snapshot that is sent again from its start, since a response
    to a heartbeat arrived after the one to the chunk before the last."""
    now = Instant(10_000.0)
    data = os.urandom(SNAPSHOT_CHUNK_BYTES)
    leader = leader_with_snapshot(data, now)
    follower = replica(FOLLOWER, Log(), now)
    leader, actions = step(leader, Tick(), now, 400.0)
    (chunk,) = sends(actions)
    heartbeat_at = add_ms(now, HEARTBEAT_MS)
    leader, actions = step(leader, Tick(), heartbeat_at, 400.0)
    (heartbeat,) = sends(actions)
    follower, actions = step(follower, Receive(chunk), heartbeat_at, 400.0)
    (chunk_response,) = sends(actions)
    follower, actions = step(follower, Receive(heartbeat), heartbeat_at, 400.0)
    (heartbeat_response,) = sends(actions)
    assert isinstance(heartbeat_response.body, AppendResponse)
    later = add_ms(heartbeat_at, 10.0)
    leader, actions = step(leader, Receive(chunk_response), later, 400.0)
    (last,) = sends(actions)
    assert last.body.offset_bytes == SNAPSHOT_CHUNK_BYTES
    leader, actions = step(leader, Receive(heartbeat_response), later, 400.0)
    assert [m.body.offset_bytes for m in sends(actions)] in ([], [SNAPSHOT_CHUNK_BYTES])


def test_small_snapshot_is_sent_uncompressed_after_a_failed_call():
    """Guards against compressed bytes for a follower that was replaced by a version
    that stores them as its state. Only a heartbeat tells what it accepts."""
    now = Instant(10_000.0)
    leader = leader_with_snapshot(b"route " * 1_000, now)
    leader, actions = step(leader, Tick(), now, 400.0)
    (message,) = sends(actions)
    assert message.body.is_compressed and not document_bytes(message.body)
    leader, _ = step(leader, SendFailed(message), add_ms(now, 1.0), 400.0)
    now = add_ms(now, HEARTBEAT_MS)
    _, actions = step(leader, Tick(), now, 400.0)
    (message,) = sends(actions)
    assert not getattr(message.body, "is_compressed", False)
