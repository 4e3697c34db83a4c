"""JSON that is decoded in small steps."""

import json

import pytest

from pollenfold.core.slices import run_at_once
from pollenfold.platform.json_scan import scan_json

MALFORMED = [
    "",
    " ",
    "{",
    "[",
    "]",
    "{}}",
    "[1,]",
    "[1 2]",
    "[,1]",
    '{"a"}',
    '{"a":}',
    '{"a":1,}',
    '{"a" 1}',
    "{1:2}",
    "{'a':1}",
    '{"a":1 "b":2}',
    "[1]x",
    "nul",
    "\ufeff{}",
    '["\n"]',
    "[" * 100_000,
    "[" * 3,
    "[1" + "0" * 5_000 + "]",
]


@pytest.mark.parametrize("text", MALFORMED)
def test_malformed_json_is_refused(text):
    """Guards against a truncated or malformed document that is read as a valid one."""
    with pytest.raises((ValueError, RecursionError)):
        json.loads(text)
    with pytest.raises((ValueError, RecursionError)):
        run_at_once(scan_json(text))


def test_each_member_of_a_long_list_is_a_step():
    """Guards against a long list that is decoded in one step."""
    value = {"a": [{"b": [{"c": [1, 2]}] * 1_000}]}
    steps = scan_json(json.dumps(value))
    assert sum(1 for _ in steps) >= 1_000
