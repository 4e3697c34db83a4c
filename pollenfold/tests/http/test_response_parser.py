"""Limits of what parsing one response may cost."""

import h11
import pytest

from pollenfold.core import response_limits as limits
from pollenfold.core.chunk_scanner import ChunkScanner
from pollenfold.http.response_parser import ResponseParser

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


def _parser():
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    return ResponseParser(parser)


def _parse(data, piece_bytes=65536):
    """Return the body; raise RemoteProtocolError."""
    parser, body, n_events = _parser(), b"", 0
    for start in range(0, len(data), piece_bytes):
        parser.receive_data(data[start : start + piece_bytes])
        while (event := parser.next_event()) is not h11.NEED_DATA:
            n_events += 1
            if type(event) is h11.Data:
                body += event.data
            if type(event) is h11.EndOfMessage:
                return body
    raise AssertionError(f"incomplete after {n_events} events")


def _chunks(piece, n):
    return (b"%x\r\n%s\r\n" % (len(piece), piece)) * n


EXPENSIVE = {
    "chunks of one byte": CHUNKED + _chunks(b"z", 20_000) + b"0\r\n\r\n",
    "chunks of two bytes": CHUNKED + _chunks(b"zz", 20_000) + b"0\r\n\r\n",
    "chunks with an extension": CHUNKED
    + (b"8;%s\r\nzzzzzzzz\r\n" % (b"e" * 2_000)) * 300
    + b"0\r\n\r\n",
    "a long chunk-size line": CHUNKED
    + b"5;"
    + b"e" * 30_000
    + b"\r\nwhole\r\n0\r\n\r\n",
    "many trailers": CHUNKED + b"0\r\n" + b"a: b\r\n" * 9_000 + b"\r\n",
    "many header fields": HEAD + b"a: b\r\n" * 9_000 + b"\r\n",
    "an interim response with many fields": b"HTTP/1.1 103 X\r\n"
    + b"a: b\r\n" * 9_000
    + b"\r\n"
    + HEAD
    + b"content-length: 0\r\n\r\n",
    "interim responses with some fields each": (
        b"HTTP/1.1 103 X\r\n" + b"a: b\r\n" * 30 + b"\r\n"
    )
    * 14
    + HEAD
    + b"content-length: 0\r\n\r\n",
    "long interim responses": (b"HTTP/1.1 103 X\r\na: %s\r\n\r\n" % (b"b" * 9_000)) * 4
    + HEAD
    + b"content-length: 0\r\n\r\n",
}


@pytest.mark.parametrize("piece_bytes", [1_000, 65_536])
@pytest.mark.parametrize("kind", EXPENSIVE)
def test_response_whose_framing_costs_too_much_is_refused(kind, piece_bytes):
    """Guards against an endpoint that takes the time of all clients with a response
    that is valid and has little content."""
    with pytest.raises(h11.RemoteProtocolError):
        _parse(EXPENSIVE[kind], piece_bytes)


LONG = b"some text in a line\n" * 10_000

SOUND = {
    "a short body in chunks of one byte": (
        CHUNKED + _chunks(b"z", 250) + b"0\r\n\r\n",
        b"z" * 250,
    ),
    "a long body in chunks of 32 bytes": (
        CHUNKED + _chunks(b"z" * 32, 20_000) + b"0\r\n\r\n",
        b"z" * 640_000,
    ),
    "a long body in one chunk": (
        CHUNKED + _chunks(LONG, 1) + b"0\r\na: b\r\n\r\n",
        LONG,
    ),
    "lines of text behind the head": (
        HEAD + b"content-length: %d\r\n\r\n" % len(LONG) + LONG,
        LONG,
    ),
    "lines of text behind an interim response": (
        b"HTTP/1.1 103 X\r\nlink: a\r\n\r\n"
        + HEAD
        + b"content-length: %d\r\n\r\n" % len(LONG)
        + LONG,
        LONG,
    ),
    "a hundred header fields": (
        HEAD + b"a: b\r\n" * 100 + b"content-length: 0\r\n\r\n",
        b"",
    ),
}


@pytest.mark.parametrize("piece_bytes", [1_000, 65_536])
@pytest.mark.parametrize("kind", SOUND)
def test_sound_response_is_parsed_whole(kind, piece_bytes):
    """Guards against limits that break off responses of sound servers."""
    data, body = SOUND[kind]
    assert _parse(data, piece_bytes) == body


def test_bytes_behind_the_response_are_surplus():
    """Guards against the reuse of a connection with bytes of no request on it."""
    parser = _parser()
    parser.receive_data(
        HEAD + b"content-length: 2\r\n\r\nokHTTP/1.1 200" + b"\n" * 5_000
    )
    while type(parser.next_event()) is not h11.EndOfMessage:
        pass
    assert parser.surplus == b"HTTP/1.1 200" + b"\n" * 5_000


def test_end_of_the_stream_ends_a_body_without_length():
    """Guards against an end that is reported before the bytes in front of it."""
    parser = _parser()
    parser.receive_data(HEAD + b"\r\n" + LONG)
    parser.receive_data(b"")
    body = b""
    while type(event := parser.next_event()) is not h11.EndOfMessage:
        if type(event) is h11.Data:
            body += event.data
    assert body == LONG


def test_chunk_limits_allow_what_they_state():
    """Guards against a limit that is off from its documented value."""
    scanner = ChunkScanner()
    piece = b"z" * limits.MIN_MEAN_CHUNK_BYTES
    assert scanner.scan(_chunks(b"z", limits.FREE_CHUNKS)) is None
    assert scanner.scan(_chunks(piece, 5_000)) is None
    n_free = limits.FREE_CHUNKS // limits.MIN_MEAN_CHUNK_BYTES
    assert scanner.scan(_chunks(b"z", n_free)) is None
    n_free_by_reads = 4 * limits.FREE_CHUNKS_PER_READ
    assert scanner.scan(_chunks(b"z", n_free_by_reads + 6)) is not None


def test_chunks_that_arrive_together_pay_for_themselves():
    """Guards against an allowance for each read that lets a flood of chunks pass."""
    scanner = ChunkScanner()
    n_chunks_per_read = 100
    excess = None
    for _ in range(4):
        excess = excess or scanner.scan(_chunks(b"z", n_chunks_per_read))
    assert excess is not None


FRAMINGS = [
    _chunks(b"z" * 40, 30) + b"0\r\n\r\n",
    b"5;a=b\r\nwhole\r\n0\r\na: b\r\nc: d\r\n\r\n" + b"\n" * 500,
    b"5\r\nwhole\r\n0\r\n\r\n" + b"\n" * 500,
]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_scanner_follows_framing_at_any_cut(framing):
    """Guards against a scanner that takes content for framing when a read ends within
    a chunk-size line, a line end or the trailers."""
    for piece_bytes in range(1, 50):
        scanner = ChunkScanner()
        for start in range(0, len(framing), piece_bytes):
            assert scanner.scan(framing[start : start + piece_bytes]) is None
        assert scanner._is_ended or scanner._is_in_trailers


@pytest.mark.parametrize("line", [b"-5", b"x", b"", b"1_0x", b"\xff"])
def test_scanner_leaves_malformed_framing_to_the_parser(line):
    """Guards against an endless loop or an error at a malformed chunk size."""
    assert ChunkScanner().scan(line + b"\r\nwhole\r\n") is None
    with pytest.raises(h11.RemoteProtocolError):
        _parse(CHUNKED + line + b"\r\nwhole\r\n0\r\n\r\n")
