"""Decodes a large JSON text in small steps.

``json.loads`` decodes a whole text in one call, which takes 40 ms of a core for 2.7 MB.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Generator
from typing import Any

from ..core.slices import Steps

MAX_SCAN_DEPTH = 4
"""Lists and objects down to this depth are decoded member by member, deeper ones as a
whole. In a configuration the routes are at the fifth level."""

DecodeItem = Callable[[str, int], tuple[Any, int]]
"""Returns the value that begins at a position, and the position of its end."""

raw_decode: DecodeItem = json.JSONDecoder().raw_decode
_skip_whitespace = re.compile(r"[ \t\n\r]*").match
_match_delimiter = re.compile(r"[ \t\n\r]*([,\]}])[ \t\n\r]*").match

Scan = Generator[None, None, tuple[Any, int]]
"""Returns a value and the position of its end."""


def scan_json(text: str, decode_item: DecodeItem = raw_decode) -> Steps[Any]:
    """Yield after each member, and return the same value as ``json.loads``.

    ``decode_item`` decodes the members of lists at the last depth; whatever it returns
    takes their place. Raise ValueError for malformed JSON and RecursionError for deep
    nesting.
    """
    start = _next_token(text, 0)
    value, end = yield from _scan_value(text, start, MAX_SCAN_DEPTH, decode_item)
    end = _next_token(text, end)
    if end != len(text):
        raise json.JSONDecodeError("Extra data", text, end)
    return value


def _next_token(text: str, position: int) -> int:
    match = _skip_whitespace(text, position)
    assert match is not None
    return match.end()


def _scan_value(text: str, position: int, depth: int, decode_item: DecodeItem) -> Scan:
    opening = text[position : position + 1]
    if depth and opening == "{":
        return (yield from _scan_object(text, position, depth - 1, decode_item))
    if depth and opening == "[":
        return (yield from _scan_list(text, position, depth - 1, decode_item))
    return raw_decode(text, position)


def _scan_object(text: str, position: int, depth: int, decode_item: DecodeItem) -> Scan:
    value: dict[str, Any] = {}
    position = _next_token(text, position + 1)
    if text.startswith("}", position):
        return value, position + 1
    while True:
        if not text.startswith('"', position):
            raise json.JSONDecodeError("Expecting property name", text, position)
        key, position = raw_decode(text, position)
        position = _next_token(text, position)
        if not text.startswith(":", position):
            raise json.JSONDecodeError("Expecting ':' delimiter", text, position)
        position = _next_token(text, position + 1)
        value[key], position = yield from _scan_value(
            text, position, depth, decode_item
        )
        yield
        position, is_end = _end_of_member(text, position, "}")
        if is_end:
            return value, position


def _scan_list(text: str, position: int, depth: int, decode_item: DecodeItem) -> Scan:
    value: list[Any] = []
    position = _next_token(text, position + 1)
    if text.startswith("]", position):
        return value, position + 1
    while True:
        if depth:
            item, position = yield from _scan_value(text, position, depth, decode_item)
        else:
            item, position = decode_item(text, position)
        value.append(item)
        yield
        position, is_end = _end_of_member(text, position, "]")
        if is_end:
            return value, position


def _end_of_member(text: str, position: int, closing: str) -> tuple[int, bool]:
    """Return the position after a comma or bracket, and whether it was the bracket."""
    match = _match_delimiter(text, position)
    if match is None or match[1] not in (",", closing):
        raise json.JSONDecodeError("Expecting ',' delimiter", text, position)
    return match.end(), match[1] == closing
