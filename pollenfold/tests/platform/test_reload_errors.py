"""Reloads of a settings file that can't be used, or is replaced meanwhile."""

import json
import os

import pytest

from pollenfold.observe.clock import system_clock
from pollenfold.observe.daemon import reload_settings
from pollenfold.observe.events import EventLog
from pollenfold.platform.settings import SettingsSource

FIELDS = {
    "self": {"nodeName": "e1", "zone": "a", "ip": "10.0.0.1"},
    "network": {
        "internalPorts": [7000, 7010],
        "listenAddrs": {},
        "seeds": ["10.0.0.2:80"],
    },
}
WHOLE = json.dumps(FIELDS)


def changed(table, name, value):
    return json.dumps(FIELDS | {table: FIELDS[table] | {name: value}})


CONTENTS = {
    "empty": b"",
    "half written": WHOLE[: len(WHOLE) // 2].encode(),
    "half written TOML": b'[self]\nnodeName = "e',
    "not UTF-8": b"\xff\xfe" + WHOLE.encode(),
    "NUL": b"\0" * 64,
    "a list": b"[1, 2]",
    "nested": b'{"a":' + b"[" * 100_000,
    "long number": b'{"a":' + b"1" * 10_000 + b"}",
    "ports of a wrong type": changed("network", "internalPorts", [{}, []]).encode(),
    "seeds of a wrong type": changed("network", "seeds", [None]).encode(),
    "addresses of a wrong type": changed("network", "listenAddrs", []).encode(),
}


@pytest.fixture
def source(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(WHOLE)
    return SettingsSource(path)


def reload(source):
    lines = []
    log = EventLog("e1", system_clock, lambda data: lines.append(data) or len(data))
    reload_settings(source.reload, source.seed_hosts, log)
    log.flush()
    return b"".join(lines).decode()


@pytest.mark.parametrize("content", CONTENTS.values(), ids=CONTENTS)
def test_unusable_file_leaves_the_settings_in_force(source, tmp_path, content):
    """Guards against a process that a settings file ends at its reload."""
    (tmp_path / "settings.json").write_bytes(content)
    assert "event=settings_rejected" in reload(source)
    assert source.seed_hosts() == ["10.0.0.2"]


@pytest.mark.parametrize("kind", ["missing", "folder", "loop of links"])
def test_unreadable_file_leaves_the_settings_in_force(source, tmp_path, kind):
    """Guards against a process that an unreadable settings file ends at its reload."""
    path = tmp_path / "settings.json"
    path.unlink()
    if kind == "folder":
        path.mkdir()
    elif kind == "loop of links":
        path.symlink_to(path)
    assert "event=settings_rejected" in reload(source)
    assert source.seed_hosts() == ["10.0.0.2"]


def test_file_that_was_replaced_is_read(source, tmp_path):
    """Guards against a reload that goes on reading the file before a rename."""
    (tmp_path / "new").write_text(changed("network", "seeds", ["10.0.0.3:80"]))
    os.replace(tmp_path / "new", tmp_path / "settings.json")
    assert "event=settings_reloaded" in reload(source)
    assert source.seed_hosts() == ["10.0.0.3"]


@pytest.mark.parametrize("error", [KeyError("a"), TypeError("b"), OverflowError("c")])
def test_unexpected_error_of_a_reload_leaves_the_settings_in_force(error):
    """Guards against a process that ends since a reload failed in an unexpected way."""

    class Source:
        def reload(self):
            raise error

        def seed_hosts(self):
            return []

    assert "event=settings_rejected" in reload(Source())
