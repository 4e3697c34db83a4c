"""What reading one response may cost, apart from the bytes of its body.

A server can make a response arbitrarily expensive without sending much content: with
thousands of header fields, interim responses, or a body in chunks of one byte. Such a
response is broken off, so that the callers of other servers aren't delayed.
"""

from __future__ import annotations

MAX_HEAD_LINES = 256
"""Lines of all heads of a response together, interim ones included."""

MAX_INTERIM_RESPONSES = 16
"""The maximum number of interim responses (1xx) before the final response."""

MAX_INTERIM_BYTES = 16 * 1024
"""Names and values of the header fields of all interim responses together."""

MAX_CHUNK_LINE_BYTES = 4 * 1024
"""A chunk-size line with its extensions."""

MAX_TRAILER_LINES = 64

FREE_CHUNKS = 256
MIN_MEAN_CHUNK_BYTES = 16
"""Beyond the first chunks, a body must have this many bytes for each of its chunks.

Each chunk costs the time of an event. A short body may have chunks of any size."""

FREE_CHUNKS_PER_READ = 4
"""A stream of small events that arrive one by one costs a read for each of them, which
is more than the event of its chunk."""

FREE_FRAMING_BYTES = 16 * 1024
"""Beyond this, chunk-size lines and extensions may not exceed the body in bytes."""

FREE_FRAMING_BYTES_PER_READ = 64


class HeadCost:
    """Counts what the heads of one response cost, interim ones included."""

    __slots__ = ("n_head_lines", "_n_interim", "_n_interim_bytes")

    def __init__(self) -> None:
        self.n_head_lines = 0
        self._n_interim = 0
        self._n_interim_bytes = 0

    def exceeds_head_lines(self, n_further_lines: int) -> bool:
        """Return whether further lines of heads would be too many."""
        return self.n_head_lines + n_further_lines > MAX_HEAD_LINES

    def add_interim(self, n_fields: int, n_bytes: int) -> str | None:
        """Count an interim response; return what exceeds a limit, or None."""
        self.n_head_lines += n_fields + 1
        self._n_interim += 1
        self._n_interim_bytes += n_bytes
        if self._n_interim > MAX_INTERIM_RESPONSES:
            return "too many interim responses"
        if self._n_interim_bytes > MAX_INTERIM_BYTES:
            return "interim responses too long"
        return None
