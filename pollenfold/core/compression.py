"""Compression of large texts, with a bound on what decompression may produce."""

from __future__ import annotations

import zlib

LEVEL = 3
"""About as fast as the lowest level, with a result a seventh smaller for
configurations."""


def compress(data: bytes) -> bytes:
    """Return the data compressed with zlib."""
    return zlib.compress(data, LEVEL)


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the original data.

    Raise ValueError if the data is malformed or incomplete, or if the original is
    longer than ``max_bytes``; at most one byte more than that is produced.
    """
    stream = zlib.decompressobj()
    try:
        original = stream.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise ValueError(f"expected zlib data: {error}") from error
    if len(original) > max_bytes:
        raise ValueError(f"expected at most {max_bytes} bytes after decompression")
    if not stream.eof or stream.unused_data:
        raise ValueError("expected one complete zlib stream")
    return original
