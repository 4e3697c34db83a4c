"""Structured log lines on standard output, rate-limited and non-blocking.

Lines are buffered and written in chunks that a pipe accepts without blocking, and only
while the pipe is writable, so a stalled log consumer can't block the event loop. Lines
that exceed the buffer or the rate limits are dropped and counted.
"""

from __future__ import annotations

import json
import os
import select
from collections.abc import Callable
from datetime import UTC, datetime

import curio

from ..core.clock import Clock, add_ms
from ..core.token_bucket import TokenBucket

FLUSH_INTERVAL_MS = 100.0
MAX_BUFFER_BYTES = 256 * 1024
MAX_WRITE_BYTES = 4096
"""A pipe that polls as writable accepts this much without blocking (PIPE_BUF)."""

LINES_PER_S = {"request": 100.0, "failure": 100.0, "state": 200.0}
BURST_S = 5.0


def _write_stdout(data: bytes) -> int:
    """Write to standard output without blocking; return the number of bytes."""
    poll = select.poll()
    poll.register(1, select.POLLOUT)
    if not poll.poll(0):
        return 0
    return os.write(1, data)


def format_value(value: object) -> str:
    """Return a value as log text, as a JSON string unless it is one plain word."""
    if isinstance(value, float):
        return f"{value:.1f}"
    text = str(value)
    is_plain = text and text.isprintable() and not set(text) & set(' "=\\')
    return text if is_plain else json.dumps(text)


class EventLog:
    """Writes one line of key=value pairs for each event.

    Lines on successful requests, failed requests and state changes are rate-limited
    separately, so that a burst of one kind can't displace the others. For
    example, ``log.state("feed_lost", control="10.0.0.1")``.
    """

    def __init__(
        self,
        process: str,
        clock: Clock,
        write: Callable[[bytes], int] = _write_stdout,
    ) -> None:
        self._process = process
        self._clock = clock
        self._write = write
        self._buffer = bytearray()
        self._buckets = {
            kind: TokenBucket(rate, rate * BURST_S, clock(), level=rate * BURST_S)
            for kind, rate in LINES_PER_S.items()
        }
        self._n_unreported = 0
        self.n_dropped = 0

    def state(self, event: str, **fields: object) -> None:
        """Log a change of this process's state or view, or a start, stop or reload."""
        self._log("state", event, fields)

    def request(self, event: str, is_failure: bool, **fields: object) -> None:
        """Log a decision on a request."""
        self._log("failure" if is_failure else "request", event, fields)

    def preformatted(self, pairs: str) -> None:
        """Log pairs that are already formatted, under the limit for state changes."""
        if self._admit_line("state"):
            self._append(pairs)

    def _log(self, bucket: str, event: str, fields: dict[str, object]) -> None:
        if self._admit_line(bucket):
            pairs = " ".join(f"{k}={format_value(v)}" for k, v in fields.items())
            self._append(f"event={event} {pairs}".rstrip())

    def _admit_line(self, bucket: str) -> bool:
        """Return whether the limits admit a line.

        Before the first one after a drop, log how many were dropped.
        """
        is_full = len(self._buffer) > MAX_BUFFER_BYTES
        if is_full or not self._buckets[bucket].try_acquire(1.0, self._clock()):
            self.n_dropped += 1
            self._n_unreported += 1
            return False
        if self._n_unreported:
            n_lines, self._n_unreported = self._n_unreported, 0
            self._append(f"event=log_lines_dropped n={n_lines}")
        return True

    def _append(self, pairs: str) -> None:
        time = datetime.now(UTC).isoformat(timespec="milliseconds")
        line = f"time={time} process={self._process} {pairs}"
        self._buffer += line.encode("utf-8", "replace") + b"\n"

    def flush(self) -> None:
        """Write as many buffered lines as the output accepts without blocking."""
        while self._buffer:
            try:
                n_bytes = self._write(bytes(self._buffer[:MAX_WRITE_BYTES]))
            except OSError:
                # The output is closed, so the buffered lines are lost.
                self.n_dropped += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            if not n_bytes:
                return
            del self._buffer[:n_bytes]

    async def run(self, on_delay: Callable[[float], None] | None = None) -> None:
        """Flush at each interval until cancelled.

        ``on_delay`` is called with the milliseconds by which a flush is late, because
        other work held the event loop up.
        """
        try:
            while True:
                flush_at = add_ms(self._clock(), FLUSH_INTERVAL_MS)
                await curio.sleep(FLUSH_INTERVAL_MS / 1000)
                if on_delay is not None:
                    on_delay(self._clock() - flush_at)
                self.flush()
        finally:
            self.flush()
