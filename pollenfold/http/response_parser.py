"""A parser of one response that bounds the time and memory which parsing takes.

It checks bytes before h11 parses them, since h11 parses a head or trailers in one step,
bounds their size only while they are incomplete, and takes any number of chunks.
"""

from __future__ import annotations

import re

import h11

from ..core.chunk_scanner import ChunkScanner
from ..core.response_limits import MAX_HEAD_LINES, MAX_INTERIM_RESPONSES, HeadCost

SLICE_BYTES = 4 * 1024
MAX_LINES_AT_ONCE = 512
"""Bytes of a head with more lines are passed on in slices of ``SLICE_BYTES``."""

UNCHECKED_HEAD_LINES = MAX_HEAD_LINES // (MAX_INTERIM_RESPONSES + 1)
"""So many lines in each head of a response are within the limit for all together."""

_END_OF_HEAD = re.compile(rb"\n\r?\n")

ParserEvent = h11.Event | type[h11.PAUSED] | type[h11.NEED_DATA]


class ResponseParser:
    """Parses the response to the request that an h11 connection has sent.

    Its methods are those of h11. ``next_event`` raises h11.RemoteProtocolError also for
    a response that exceeds the limits of ``core/response_limits.py``.
    """

    __slots__ = (
        "_parser",
        "_cost",
        "_unfed",
        "_is_at_end",
        "_is_end_fed",
        "_needs_data",
        "_is_in_head",
        "_n_head_newlines",
        "_chunks",
        "_excess",
    )

    def __init__(self, parser: h11.Connection) -> None:
        self._parser = parser
        self._cost = HeadCost()
        self._unfed = b""
        self._is_at_end = False
        self._is_end_fed = False
        self._needs_data = True
        self._is_in_head = True
        self._n_head_newlines = 0
        self._chunks: ChunkScanner | None = None
        self._excess: str | None = None

    @property
    def surplus(self) -> bytes:
        """The bytes that were received and not parsed."""
        return self._parser.trailing_data[0] + self._unfed

    def receive_data(self, data: bytes) -> None:
        """Add bytes, or the end of the stream if there are none."""
        if data:
            self._unfed = self._unfed + data if self._unfed else data
            if self._chunks is not None:
                self._excess = self._excess or self._chunks.scan(data)
        else:
            self._is_at_end = True

    def next_event(self) -> ParserEvent:
        """Return the next event, or NEED_DATA; raise RemoteProtocolError."""
        while True:
            if self._is_in_head and self._n_head_newlines > UNCHECKED_HEAD_LINES:
                self._check_head_lines()
            if self._excess is not None:
                raise h11.RemoteProtocolError(self._excess)
            if not self._needs_data:
                event = self._parser.next_event()
                if event is not h11.NEED_DATA:
                    self._record(event)
                    return event
                self._needs_data = True
            if not self._feed():
                return h11.NEED_DATA
            self._needs_data = False

    def _feed(self) -> bool:
        """Pass bytes on to h11; return whether there were any."""
        data = self._unfed
        if not data:
            is_end = self._is_at_end and not self._is_end_fed
            if is_end:
                self._is_end_fed = True
                self._parser.receive_data(b"")
            return is_end
        if self._is_in_head:
            n_lines = data.count(b"\n")
            if n_lines > MAX_LINES_AT_ONCE and len(data) > SLICE_BYTES:
                data = data[:SLICE_BYTES]
                n_lines = data.count(b"\n")
            self._n_head_newlines += n_lines
        self._unfed = self._unfed[len(data) :]
        self._parser.receive_data(data)
        return True

    def _check_head_lines(self) -> None:
        # The lines may be those of a body that arrived with its head.
        data = self._parser.trailing_data[0]
        end = _END_OF_HEAD.search(data)
        n_lines = data.count(b"\n", 0, len(data) if end is None else end.end())
        if self._cost.exceeds_head_lines(n_lines):
            raise h11.RemoteProtocolError("too many header fields")

    def _record(self, event: ParserEvent) -> None:
        if type(event) is h11.Response:
            self._is_in_head = False
            if any(name == b"transfer-encoding" for name, _ in event.headers):
                self._chunks = ChunkScanner()
                self._excess = self._chunks.scan(self.surplus)
        elif type(event) is h11.InformationalResponse:
            n_bytes = sum(len(name) + len(value) for name, value in event.headers)
            self._excess = self._cost.add_interim(len(event.headers), n_bytes)
            self._n_head_newlines = self._parser.trailing_data[0].count(b"\n")
