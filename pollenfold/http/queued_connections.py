"""Answers the connections that wait for a process that failed while it started.

It needs no event loop and no module that loads late, since either may be what failed.
"""

from __future__ import annotations

import contextlib
import selectors
import socket

from ..core.clock import Instant, add_ms, remaining_ms
from ..observe.clock import system_clock

ANSWER_WAIT_MS = 1_000.0
"""How long the process waits until its callers have sent a head and have the answer."""

END_OF_HEAD = b"\r\n\r\n"

_BODY = b'{"error": "not_ready", "run_state": "did_not_run", "text": "still starting"}'

NOT_READY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"content-type: application/json\r\n"
    b"pollenfold-run-state: did_not_run\r\n"
    b"retry-after: 1\r\n"
    b"connection: close\r\n"
    b"content-length: %d\r\n\r\n" % len(_BODY)
) + _BODY


def refuse_queued(listener: socket.socket) -> None:
    """Close a listener, and refuse the requests of the connections in its queue.

    Closing it alone would reset them. A listener that is closed already is left alone.
    """
    with selectors.DefaultSelector() as selector:
        with contextlib.suppress(OSError):
            while True:
                client, _ = listener.accept()
                client.setblocking(False)
                selector.register(client, selectors.EVENT_READ, bytearray())
        listener.close()
        _serve_until(selector, add_ms(system_clock(), ANSWER_WAIT_MS))
        for key in list(selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]


def _serve_until(selector: selectors.BaseSelector, deadline: Instant) -> None:
    """Answer each connection after its head, and read on until its caller closes."""
    while selector.get_map():
        left_ms = remaining_ms(deadline, system_clock())
        if left_ms <= 0.0:
            return
        for key, _ in selector.select(left_ms / 1000):
            client = key.fileobj
            assert isinstance(client, socket.socket)
            try:
                is_open = _read_and_answer(client, key.data)
            except OSError:
                is_open = False
            if not is_open:
                selector.unregister(client)
                client.close()


def _read_and_answer(client: socket.socket, received: bytearray) -> bool:
    """Read what has arrived, answer a complete head; return False at the end."""
    data = client.recv(64 * 1024)
    if END_OF_HEAD in received:
        # Answered before; what follows is discarded, as unread bytes cause a reset.
        return bool(data)
    received += data
    if END_OF_HEAD in received:
        client.sendall(NOT_READY_RESPONSE)
        client.shutdown(socket.SHUT_WR)
    return bool(data)
