"""Requests that carry a document, and how they share a link with heartbeats.

A configuration of thousands of routes has hundreds of kilobytes. On a slow link it
takes longer than an election timeout, so heartbeats go on beside it, and it is sent
again only once its own, longer timeout has passed.
"""

from __future__ import annotations

from .messages import AppendRequest, Body, SnapshotRequest

DOCUMENT_BYTES = 32 * 1024
"""Requests with more than this are sent like documents. A link of 4 Mbit/s carries so
much in 66 ms, less than a heartbeat interval."""

CALL_TIMEOUT_MS = 400.0
LINK_BYTES_PER_MS = 500.0
"""The bandwidth that is expected of a link between replicas: 4 Mbit/s."""

MAX_DOUBLINGS = 3
"""Longest timeout of a document, as a power of two of the expected one. It doubles each
time that the follower answers heartbeats and not the document."""


def document_bytes(body: Body) -> int:
    """Return the size of the document that a message carries, or 0 without one."""
    match body:
        case AppendRequest():
            n_bytes = sum(len(entry.command) for entry in body.entries)
        case SnapshotRequest():
            n_bytes = len(body.data)
        case _:
            return 0
    return n_bytes if n_bytes > DOCUMENT_BYTES else 0


def call_timeout_ms(body: Body, n_doublings: int = MAX_DOUBLINGS) -> float:
    """Return how long the response to a request is waited for."""
    transfer_ms = document_bytes(body) / LINK_BYTES_PER_MS
    return CALL_TIMEOUT_MS + transfer_ms * 2.0**n_doublings
