"""Whatever an earlier version stored, a replica reads its disk and goes on."""

import contextlib
import json
import tempfile
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.core import input_limits
from pollenfold.core.command_encoding import (
    decode_command,
)
from pollenfold.core.registry import decode_announcement, with_version
from pollenfold.core.replicated_state import (
    decode_replicated_state,
)
from pollenfold.storage.endpoint_cache import FILE_NAME, read_endpoint_cache
from properties.test_borders import FIELDS, ODD_VALUES
from properties.test_decoders import value_paths, with_value_at

STATE = {"index": 5, "version": 0, "document": ""}


@given(
    st.lists(ODD_VALUES, max_size=4),
    st.dictionaries(st.text(max_size=5), ODD_VALUES, max_size=4),
)
def test_snapshot_with_any_zone_or_departure_is_read(evacuated, departures):
    """Guards against a stored departure that ends a replica whenever it starts."""
    malformed = []
    state = decode_replicated_state(
        {**STATE, "evacuated": [*evacuated, "a"], "departures": {**departures, "i": 5}},
        malformed.append,
    )
    assert "a" in state.evacuated
    assert state.has_departed("i", 5)
    assert all(type(born_ms) is int for born_ms in state.departures.values())


def test_deeply_nested_command_is_refused():
    """Guards against a command in the log that ends each replica that applies it."""
    with pytest.raises(ValueError):
        decode_command(b"[" * 100_000)


ANNOUNCEMENT = decode_announcement(FIELDS)
CACHE = {"announcements": [FIELDS], "n_entries": 3, "versions": {"i-1": "v1"}}


@given(st.sampled_from(list(value_paths(CACHE))), ODD_VALUES)
@example(("n_entries",), 10**400)
@example(("n_entries",), float("inf"))
def test_endpoint_cache_with_any_value_is_read(path, value):
    """Guards against a cached value that ends a replica whenever it starts."""
    with tempfile.TemporaryDirectory() as folder:
        text = json.dumps(with_value_at(CACHE, path, value))
        (Path(folder) / FILE_NAME).write_text(text)
        items, n_entries, versions = read_endpoint_cache(Path(folder))
    assert isinstance(items, list)
    with contextlib.suppress(ValueError):
        assert isinstance(with_version(ANNOUNCEMENT, versions).version, str)
    assert 0 <= n_entries <= input_limits.MAX_ENTRIES


def test_deeply_nested_endpoint_cache_is_read_as_empty(tmp_path):
    """Guards against a corrupt cache that ends a replica whenever it starts."""
    (tmp_path / FILE_NAME).write_text("[" * 100_000)
    assert read_endpoint_cache(tmp_path) == ([], 0, None)
