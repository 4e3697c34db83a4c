"""Looks ahead over the framing of a chunked body before it is parsed.

Parsing an event takes several times as long as finding a chunk-size line, so a body
that isn't worth reading is recognised here, as soon as its bytes have arrived.
"""

from __future__ import annotations

from .response_limits import (
    FREE_CHUNKS,
    FREE_CHUNKS_PER_READ,
    FREE_FRAMING_BYTES,
    FREE_FRAMING_BYTES_PER_READ,
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_LINES,
    MIN_MEAN_CHUNK_BYTES,
)


class ChunkScanner:
    """Counts what the framing of one body costs.

    For example, after ``5\\r\\nwhole\\r\\n`` it has seen one chunk, 5 bytes of the body
    and 5 bytes of framing. It stops at malformed framing, which the parser rejects.
    """

    __slots__ = (
        "_unread",
        "_n_skipped_bytes",
        "_n_chunks",
        "_n_body_bytes",
        "_n_framing_bytes",
        "_n_reads",
        "_n_trailer_lines",
        "_is_in_trailers",
        "_is_ended",
    )

    def __init__(self) -> None:
        self._unread = b""
        self._n_skipped_bytes = 0
        self._n_chunks = 0
        self._n_body_bytes = 0
        self._n_framing_bytes = 0
        self._n_reads = 0
        self._n_trailer_lines = 0
        self._is_in_trailers = False
        self._is_ended = False

    def scan(self, data: bytes) -> str | None:
        """Scan the next bytes; return what exceeds a limit, or None."""
        if self._is_ended:
            return None
        self._n_reads += 1
        position = 0
        if self._unread:
            data, self._unread = self._unread + data, b""
        while position < len(data) and not self._is_in_trailers:
            if self._n_skipped_bytes:
                n_bytes = min(self._n_skipped_bytes, len(data) - position)
                self._n_skipped_bytes -= n_bytes
                position += n_bytes
                continue
            end = data.find(b"\r\n", position)
            if end < 0:
                self._unread = data[position:]
                is_too_long = len(self._unread) > MAX_CHUNK_LINE_BYTES
                return "chunk-size line too long" if is_too_long else None
            excess = self._read_size(data[position:end])
            if excess is not None or self._is_ended:
                return excess
            position = end + 2
        return self._read_trailers(data[position:]) if self._is_in_trailers else None

    def _read_size(self, line: bytes) -> str | None:
        """Count a chunk by its size line."""
        try:
            n_bytes = int(line.partition(b";")[0], 16)
        except ValueError:
            n_bytes = -1
        if n_bytes < 0:
            self._is_ended = True
            return None
        if n_bytes == 0:
            self._is_in_trailers = True
            return None
        self._n_chunks += 1
        self._n_body_bytes += n_bytes
        self._n_framing_bytes += len(line) + 4
        self._n_skipped_bytes = n_bytes + 2
        n_free_chunks = FREE_CHUNKS + FREE_CHUNKS_PER_READ * self._n_reads
        n_paid_chunks = self._n_chunks - n_free_chunks
        if n_paid_chunks * MIN_MEAN_CHUNK_BYTES > self._n_body_bytes:
            return "chunks too small"
        n_free_bytes = FREE_FRAMING_BYTES + FREE_FRAMING_BYTES_PER_READ * self._n_reads
        if self._n_framing_bytes > n_free_bytes + self._n_body_bytes:
            return "chunk framing longer than the body"
        return None

    def _read_trailers(self, data: bytes) -> str | None:
        """Count lines up to the end of the trailers; what follows is surplus."""
        position = 0
        while (end := data.find(b"\n", position)) >= 0:
            if data[position:end] in (b"", b"\r"):
                self._is_ended = True
                return None
            self._n_trailer_lines += 1
            if self._n_trailer_lines > MAX_TRAILER_LINES:
                return "too many trailers"
            position = end + 1
        # Of an incomplete line, it matters only whether it is blank so far.
        self._unread = data[position : position + 2]
        return None
