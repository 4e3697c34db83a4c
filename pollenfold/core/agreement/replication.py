"""Replication of entries and snapshots from the leader to its followers."""

from __future__ import annotations

from dataclasses import replace
from functools import lru_cache

from ..clock import Instant, add_ms
from ..compression import compress, decompress
from .documents import MAX_DOUBLINGS, call_timeout_ms, document_bytes
from .log import Entry, Snapshot
from .members import decode_members, with_voters_from_log
from .messages import (
    Action,
    AppendRequest,
    AppendResponse,
    Apply,
    Message,
    PersistEntries,
    PersistLog,
    Restore,
    SnapshotRequest,
    SnapshotResponse,
)
from .rejoin import join_if_caught_up
from .state import (
    HEARTBEAT_MS,
    PartialSnapshot,
    Progress,
    Role,
    State,
    Step,
    become_follower,
)

BATCH_LIMIT_BYTES = 1 << 18
"""Keeps a batch, even with a single command of maximum size, below the 1 MiB frame
limit."""

SNAPSHOT_CHUNK_BYTES = 1 << 18
MAX_SNAPSHOT_BYTES = 1 << 26
"""Bounds what a follower decompresses; a state has at most some megabytes."""


def broadcast(state: State, now: Instant) -> Step:
    """Send every follower the entries that it lacks, or a heartbeat."""
    state = replace(state, wake_at=add_ms(now, HEARTBEAT_MS))
    actions: list[Action] = []
    for peer in state.peers:
        state, sends = _replicate(state, peer, now)
        actions += sends
    return state, actions


def propose(state: State, command: bytes, now: Instant) -> Step:
    """Append a command to the leader's log; any other replica ignores it."""
    if state.role is not Role.LEADER:
        return state, []
    entry = Entry(state.log.last_index + 1, state.term, command)
    state = replace(state, log=state.log.with_entries((entry,)))
    if state.is_dynamic and decode_members(command) is not None:
        state = with_voters_from_log(state, now)
    actions: list[Action] = [PersistEntries((entry,))]
    for peer in state.peers:
        if not state.progress[peer].is_awaiting_response:
            state, sends = _replicate(state, peer, now)
            actions += sends
    state, applies = advance_commit(state)
    return state, actions + applies


def _replicate(state: State, peer: str, now: Instant) -> Step:
    progress = state.progress[peer]
    if progress.document_sent_at is not None and now < progress.document_resend_at:
        return state, [state.send(peer, _heartbeat(state, progress, now))]
    log = state.log
    is_snapshot_needed = progress.next_index <= log.snapshot.index
    if is_snapshot_needed and progress.snapshot_index != log.snapshot.index:
        progress = replace(
            progress, snapshot_index=log.snapshot.index, snapshot_offset_bytes=0
        )
    body: AppendRequest | SnapshotRequest
    if is_snapshot_needed and _is_form_unknown(progress):
        body = _heartbeat(state, progress, now)
    elif is_snapshot_needed:
        if not progress.snapshot_offset_bytes:
            is_compressed = bool(progress.accepts_compressed)
            progress = replace(progress, is_snapshot_compressed=is_compressed)
        body = _snapshot_request(state, progress, now)
    else:
        previous_index = progress.next_index - 1
        body = AppendRequest(
            state.term,
            previous_index,
            log.term_at(previous_index) or 0,
            log.batch(progress.next_index, BATCH_LIMIT_BYTES),
            state.commit_index,
            log.last_index,
            progress.incarnation,
            now,
        )
    n_slow = progress.n_slow_documents
    sent_at = progress.document_sent_at
    if sent_at is not None and progress.last_contact_at > sent_at:
        n_slow = min(n_slow + 1, MAX_DOUBLINGS)
    progress = replace(
        progress,
        is_awaiting_response=True,
        document_sent_at=now if document_bytes(body) else None,
        document_resend_at=add_ms(now, call_timeout_ms(body, n_slow)),
        n_slow_documents=n_slow,
    )
    return _with_progress(state, peer, progress), [state.send(peer, body)]


def _heartbeat(state: State, progress: Progress, now: Instant) -> AppendRequest:
    """Return a request without entries, for a follower to which a document is sent."""
    return AppendRequest(
        state.term,
        progress.match_index,
        state.log.term_at(progress.match_index) or 0,
        (),
        state.commit_index,
        state.log.last_index,
        progress.incarnation,
        now,
    )


def _is_form_unknown(progress: Progress) -> bool:
    """Return whether a snapshot begins for a follower that must be asked first."""
    return progress.accepts_compressed is None and not progress.snapshot_offset_bytes


def on_send_failed(state: State, message: Message) -> State:
    """Let a document whose call failed be sent again with the next heartbeat.

    The follower may have been replaced by an earlier version, so no snapshot begins
    before it has answered a heartbeat. Chunks that follow others are safe: one that
    lacks those before doesn't take them.
    """
    progress = state.progress.get(message.recipient)
    body = message.body
    if progress is None or not isinstance(body, AppendRequest | SnapshotRequest):
        return state
    progress = replace(progress, accepts_compressed=None)
    if progress.document_sent_at == body.sent_at:
        progress = replace(progress, document_sent_at=None, is_awaiting_response=False)
    return _with_progress(state, message.recipient, progress)


def _snapshot_request(
    state: State, progress: Progress, now: Instant
) -> SnapshotRequest:
    snapshot = state.log.snapshot
    is_compressed = progress.is_snapshot_compressed
    data = _compressed(snapshot.data) if is_compressed else snapshot.data
    offset_bytes = min(progress.snapshot_offset_bytes, len(data))
    return SnapshotRequest(
        state.term,
        snapshot.index,
        snapshot.term,
        offset_bytes,
        len(data),
        data[offset_bytes : offset_bytes + SNAPSHOT_CHUNK_BYTES],
        state.log.last_index,
        progress.incarnation,
        now,
        is_compressed,
    )


@lru_cache(maxsize=1)
def _compressed(snapshot_data: bytes) -> bytes:
    """Return the compressed data, which is the same for each chunk and follower."""
    return compress(snapshot_data)


def _with_progress(state: State, peer: str, progress: Progress) -> State:
    return replace(state, progress={**state.progress, peer: progress})


def record_incarnation(
    state: State, message: Message, is_blank: bool, now: Instant
) -> State:
    """Reset the progress of a follower that has a new incarnation.

    The entries that its earlier incarnation stored are lost with that disk.
    """
    progress = state.progress.get(message.sender)
    if progress is None or progress.incarnation == message.incarnation:
        return state
    if message.incarnation in progress.retired_incarnations:
        return state
    if progress.incarnation:
        retired_incarnations = progress.retired_incarnations | {progress.incarnation}
        progress = Progress(
            1, progress.last_contact_at, retired_incarnations=retired_incarnations
        )
    progress = replace(progress, incarnation=message.incarnation, is_blank=is_blank)
    return _with_progress(state, message.sender, progress)


def on_follower_response(
    state: State,
    message: Message,
    response: AppendResponse | SnapshotResponse,
    now: Instant,
    timeout_ms: float,
) -> Step:
    """Record a follower's progress, advance the commit index and send more entries."""
    if response.term > state.term:
        return become_follower(state, response.term, None, add_ms(now, timeout_ms))
    if state.role is not Role.LEADER or response.term < state.term:
        return state, []
    state = record_incarnation(state, message, response.is_blank, now)
    progress = state.progress.get(message.sender)
    if progress is None:
        # The replica was removed from the group after the request was sent.
        return state, []
    if progress.incarnation != message.incarnation:
        return state, []
    progress = replace(
        progress,
        last_contact_at=max(progress.last_contact_at, response.sent_at),
        is_blank=response.is_blank,
    )
    if isinstance(response, AppendResponse):
        accepts_compressed = response.accepts_compressed
        progress = replace(progress, accepts_compressed=accepts_compressed)
    if progress.document_sent_at not in (None, response.sent_at):
        # The response to a heartbeat: the one to the document is still to come.
        return _with_progress(state, message.sender, progress), []
    if progress.document_sent_at is not None:
        progress = replace(progress, document_sent_at=None, n_slow_documents=0)
    progress = replace(progress, is_awaiting_response=False)
    progress = _progress_after_response(state, progress, response)
    state = _with_progress(state, message.sender, progress)
    state, actions = advance_commit(state)
    if progress.next_index <= state.log.last_index:
        state, sends = _replicate(state, message.sender, now)
        actions += sends
    return state, actions


def _progress_after_response(
    state: State, progress: Progress, response: AppendResponse | SnapshotResponse
) -> Progress:
    if isinstance(response, SnapshotResponse):
        is_same_snapshot = response.index == progress.snapshot_index
        offset_bytes = response.n_bytes if is_same_snapshot else 0
        if offset_bytes < progress.snapshot_offset_bytes:
            # What arrived before is lost, maybe with the process that took it.
            progress = replace(progress, accepts_compressed=None)
        return replace(progress, snapshot_offset_bytes=offset_bytes)
    match_index = progress.match_index
    if response.is_success:
        match_index = max(match_index, response.match_index)
        next_index = match_index + 1
    else:
        next_index = max(match_index, response.match_index) + 1
    # A late response to a heartbeat doesn't end the transfer of a snapshot.
    is_snapshot_needed = next_index <= state.log.snapshot.index
    return replace(
        progress,
        match_index=match_index,
        next_index=min(next_index, state.log.last_index + 1),
        snapshot_offset_bytes=(
            progress.snapshot_offset_bytes if is_snapshot_needed else 0
        ),
    )


def advance_commit(state: State) -> Step:
    """Commit the entries that a majority holds, if the last is of the current term.

    A later leader may still replace an entry of an earlier term that a majority
    holds, so such an entry is committed only together with one of the current term.
    """
    match_indexes = [state.log.last_index] if state.is_voter(state.replica_id) else []
    match_indexes += [
        0 if p.is_blank else p.match_index
        for k, p in state.progress.items()
        if state.is_voter(k)
    ]
    match_indexes.sort(reverse=True)
    index = match_indexes[state.n_majority - 1]
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return state, []
    return _commit(state, index)


def _commit(state: State, index: int) -> Step:
    if index <= state.commit_index:
        return state, []
    entries = state.log.between(state.commit_index + 1, index)
    return replace(state, commit_index=index), [Apply(entries)]


def _follow(
    state: State, message: Message, term: int, now: Instant, timeout_ms: float
) -> Step:
    """Follow the leader that sent the message."""
    state, actions = become_follower(
        state, term, message.sender, add_ms(now, timeout_ms)
    )
    state = replace(
        state,
        leader_contact_at=now,
        previous_leader_id=message.sender,
        has_seen_leader=True,
        n_elections=0,
    )
    return state, actions


def on_append_request(
    state: State,
    message: Message,
    request: AppendRequest,
    now: Instant,
    timeout_ms: float,
) -> Step:
    """Store the leader's entries if they continue the local log."""
    if request.term < state.term:
        return state, [_append_response(state, message, request, False, 0)]
    state, actions = _follow(state, message, request.term, now, timeout_ms)
    if request.previous_index >= state.log.snapshot.index:
        if state.log.term_at(request.previous_index) != request.previous_term:
            # All logs agree up to the commit index, so the leader resumes after it.
            index = state.commit_index
            response = _append_response(state, message, request, False, index)
            return state, [*actions, response]
    entries = state.log.new_entries(request.entries)
    if entries:
        if entries[0].index <= state.commit_index:
            raise AssertionError(
                f"expected entries after the commit index {state.commit_index}, "
                f"got an entry that replaces index {entries[0].index}"
            )
        state = replace(state, log=state.log.with_entries(entries))
        state = with_voters_from_log(state, now)
        actions.append(PersistEntries(entries))
    match_index = request.previous_index + len(request.entries)
    state, applies = _commit(state, min(request.commit_index, match_index))
    state, joins = join_if_caught_up(
        state, request, match_index, add_ms(now, timeout_ms)
    )
    response = _append_response(state, message, request, True, match_index)
    return state, [*actions, *joins, *applies, response]


def _append_response(
    state: State,
    message: Message,
    request: AppendRequest | SnapshotRequest,
    is_success: bool,
    match_index: int,
) -> Action:
    body = AppendResponse(
        state.term, is_success, match_index, state.is_blank, request.sent_at, True
    )
    return state.send(message.sender, body)


def on_snapshot_request(
    state: State,
    message: Message,
    request: SnapshotRequest,
    now: Instant,
    timeout_ms: float,
) -> Step:
    """Collect the chunks of a snapshot, and install it when it is complete."""
    if request.term < state.term:
        return state, [_append_response(state, message, request, False, 0)]
    state, actions = _follow(state, message, request.term, now, timeout_ms)
    if request.index <= state.commit_index:
        index = state.commit_index
        return state, [
            *actions,
            _append_response(state, message, request, True, index),
        ]
    state = replace(state, partial_snapshot=_with_snapshot_chunk(state, request))
    assert state.partial_snapshot is not None
    data = state.partial_snapshot.data
    n_bytes = len(data)
    if n_bytes == request.n_total_bytes and request.is_compressed:
        try:
            data = decompress(data, MAX_SNAPSHOT_BYTES)
        except ValueError:
            # It is requested again from its start.
            n_bytes = 0
            state = replace(state, partial_snapshot=None)
    if n_bytes < request.n_total_bytes:
        body = SnapshotResponse(
            state.term, request.index, n_bytes, state.is_blank, request.sent_at
        )
        return state, [*actions, state.send(message.sender, body)]
    snapshot = Snapshot(request.index, request.snapshot_term, data)
    state = replace(
        state,
        log=state.log.with_snapshot(snapshot),
        commit_index=request.index,
        partial_snapshot=None,
    )
    state = with_voters_from_log(state, now)
    actions += [PersistLog(state.log), Restore(request.index, data)]
    state, joins = join_if_caught_up(
        state, request, request.index, add_ms(now, timeout_ms)
    )
    response = _append_response(state, message, request, True, request.index)
    return state, [*actions, *joins, response]


def _with_snapshot_chunk(state: State, request: SnapshotRequest) -> PartialSnapshot:
    partial = state.partial_snapshot
    start = PartialSnapshot(request.term, request.index, b"", request.is_compressed)
    if partial is None or replace(partial, data=b"") != start:
        partial = start
    if request.offset_bytes == len(partial.data):
        partial = replace(partial, data=partial.data + request.data)
    return partial
