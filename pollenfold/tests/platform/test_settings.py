"""The settings file of the platform, and the headers of its backend servers."""

import json
import re
import tomllib
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace

import curio
import pytest

from pollenfold.core.balancing.selection import ServerLoad
from pollenfold.core.tenancy.quota_limits import QuotaLimits
from pollenfold.gateway.daemon import Gateway
from pollenfold.http.messages import Response
from pollenfold.platform import __main__ as program
from pollenfold.platform.__main__ import ROLES, main, quota_limits
from pollenfold.platform.headers import DIALECT, is_genuine, parse_load
from pollenfold.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    SettingsError,
    SettingsSource,
    load_settings,
    parse_settings,
)

TEMPLATE = Path(__file__).parents[3] / "deploy" / "settings.json"

TEXT = """
unknown = "ignored"
[self]
nodeName = "front-a-1"
ip = "10.1.0.35"
zone = "a"
bootstrap = true
[self.limits]
linkMbps = 2.0
memoryMb = 200
maxFds = 900
[network]
internalPorts = [7660,7675]
seeds = ["10.1.0.38:8146","10.2.0.31:8146"]
[network.listenAddrs]
front = "10.1.0.35:8144"
[network.zones]
a = "r"
[terms.faultTolerance]
machines = 2
[terms.bounds]
graceS = 6
closed = true
[hedging]
ratio = 0.0
"""


@pytest.fixture
def source(tmp_path):
    """Return the settings source of a file in a temporary folder."""
    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    return SettingsSource(path)


def test_settings_are_read(source):
    """Guards against a field that is read under a wrong name."""
    settings = source.settings
    assert settings.name == "front-a-1"
    assert settings.addresses == {"front": ("10.1.0.35", 8144)}
    assert source.seed_hosts() == ["10.1.0.38", "10.2.0.31"]
    assert (settings.is_first_start, settings.n_tolerated_failures) == (True, 2)
    assert settings.bound("graceS", 1) == 6
    assert settings.bound("closed", 3) == 3
    assert settings.link_bytes_per_ms == 250.0
    assert (settings.memory_bytes, settings.n_descriptors) == (200 << 20, 900)


def test_no_hedges_unless_the_file_permits_them(source):
    """Guards against hedges that nobody asked for, and a limit that is not applied when
    the settings are reloaded."""
    fields = tomllib.loads(TEXT)
    for table in ({}, {"other": 1}):
        assert parse_settings({**fields, "hedging": table}).hedge_ratio == 0.0
    del fields["hedging"]
    assert parse_settings(fields).hedge_ratio == 0.0
    assert source.hedge_ratio() == 0.0
    source._path.write_text(TEXT.replace("ratio = 0.0", "ratio = 0.05"))
    source.reload()
    assert source.hedge_ratio() == 0.05
    source._path.write_text(TEXT.replace("ratio = 0.0", "ratio = 5"))
    with pytest.raises(SettingsError, match="hedging.ratio"):
        source.reload()
    assert source.hedge_ratio() == 0.05


def test_entry_uses_the_limit_of_hedges_in_force(source, monkeypatch):
    """Guards against a limit that is read but doesn't reach the path of requests."""
    settings = []
    monkeypatch.setattr(curio, "run", lambda *args: settings.append(args[1]))
    ports = SimpleNamespace(feed=1, metrics=None, relay=0)
    listeners = SimpleNamespace(callers=None, ready=None, peers=None)
    program._serve_entry(source, ports, listeners, None)
    gateway = Gateway(settings[0], DIALECT, json.loads)
    ratio = gateway.forwarder.hedges._ratio
    assert ratio() == 0.0
    source._path.write_text(TEXT.replace("ratio = 0.0", "ratio = 0.05"))
    gateway.reload()
    assert ratio() == 0.05


@pytest.mark.parametrize("value", [5, [], "0.1", None])
def test_hedging_that_is_no_table_is_reported(value):
    """Guards against a misplaced limit that is ignored."""
    with pytest.raises(SettingsError, match="hedging"):
        parse_settings({**tomllib.loads(TEXT), "hedging": value})


def test_missing_limits_have_defaults():
    """Guards against a process that doesn't start where the file has no limits."""
    fields = tomllib.loads(TEXT)
    del fields["self"]["limits"]
    settings = parse_settings(fields)
    assert (settings.memory_bytes, settings.n_descriptors) == (300 << 20, 4_100)


def render(template, fields):
    """Fill in the template as the platform does: one level, JSON values."""

    def section(match):
        return match[2] if match[1] in fields else ""

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{(\w+)\|json\}\}", lambda m: json.dumps(fields[m[1]]), text)


@pytest.mark.parametrize("extra", [{}, {"dataDir": "/data/control"}])
def test_template_yields_the_settings_of_the_toml_file(tmp_path, extra):
    """Guards against a field that is missing from the template of the deploy file."""
    fields = tomllib.loads(TEXT)
    fields["self"] |= extra
    plain = {
        k: v
        for table in fields.values()
        if type(table) is dict
        for k, v in table.items()
    }
    path = tmp_path / "settings.json"
    path.write_text(render(TEMPLATE.read_text(), plain))
    assert load_settings(path) == parse_settings(fields)


@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        ('nodeName = "front-a-1"', "", "nodeName"),
        ('ip = "10.1.0.35"', "ip = 5", "ip"),
        ("[7660,7675]", "[7660]", "internalPorts"),
        ("10.1.0.38:8146", "nowhere", "nowhere"),
        ("[network]", "[network", "settings.toml"),
        ("linkMbps = 2.0", "linkMbps = -1", "linkMbps"),
        ("linkMbps = 2.0", "linkMbps = inf", "linkMbps"),
        ("memoryMb = 200", "memoryMb = 0", "memoryMb"),
        ("maxFds = 900", 'maxFds = "900"', "maxFds"),
        ("ratio = 0.0", "ratio = -0.1", "hedging.ratio"),
        ("ratio = 0.0", "ratio = 1.1", "hedging.ratio"),
        ("ratio = 0.0", "ratio = nan", "hedging.ratio"),
        ("ratio = 0.0", "ratio = true", "hedging.ratio"),
        ("ratio = 0.0", 'ratio = "0.1"', "hedging.ratio"),
        ("memoryMb = 200", "memoryMb = -1", "memoryMb"),
        ("memoryMb = 200", 'memoryMb = "300"', "memoryMb"),
    ],
)
def test_invalid_settings_are_reported_on_one_line(
    tmp_path, monkeypatch, capsys, old, new, word
):
    """Guards against a traceback instead of the name of the invalid field."""
    path = tmp_path / "settings.toml"
    path.write_text(TEXT.replace(old, new, 1))
    monkeypatch.setenv("POLLENFOLD_BOOT", str(path))
    assert main(["entry"]) == 2
    error = capsys.readouterr().err
    assert word in error
    assert error.count("\n") == 1


def test_unknown_role_is_refused(capsys):
    """Guards against starting a process for a role that doesn't exist."""
    assert main(["ledger"]) == 2
    assert "entry or control" in capsys.readouterr().err


def test_reload_keeps_the_old_settings_when_the_file_is_bad(source):
    """Guards against a partially written file that removes the seeds."""
    source._path.write_text("[self")
    with pytest.raises(SettingsError, match="settings.toml"):
        source.reload()
    assert source.seed_hosts() == ["10.1.0.38", "10.2.0.31"]
    source._path.write_text(TEXT.replace("10.1.0.38", "10.9.0.1"))
    source.reload()
    assert source.seed_hosts() == ["10.9.0.1", "10.2.0.31"]


def test_missing_file_is_an_error(tmp_path):
    """Guards against a process that starts without settings."""
    with pytest.raises(SettingsError):
        SettingsSource(tmp_path / "none.toml")


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", ServerLoad(3, 0, 8, 1.0)),
        (b"3,1,8,500", ServerLoad(3, 1, 8, 5.0)),
        (b"3,1", None),
        (b"a,b,c", None),
        (b"-1,0,8", None),
    ],
)
def test_load_header(value, load):
    """Guards against a malformed load header that is read as an idle server."""
    assert parse_load(value) == load


@pytest.mark.parametrize(
    ("status", "headers", "is_complete"),
    [
        (200, [(b"x-response-signature", b"s")], True),
        (200, [], False),
        (
            200,
            [(b"x-response-signature", b"s"), (b"content-encoding", b"gzip")],
            False,
        ),
        (500, [], True),
    ],
)
def test_success_needs_the_signature(status, headers, is_complete):
    """Guards against accepting a success that didn't come from the server."""
    assert is_genuine(Response(status, headers)) is is_complete


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ("[7660,7675]", "[7660,70000]"),
        ("10.1.0.35:8144", "10.1.0.35:70000"),
        ("10.1.0.35:8144", "10.1.0.35:²"),
        ("10.1.0.38:8146", "10.1.0.38:" + "9" * 5000),
        ("linkMbps = 2.0", "linkMbps = 1" + "0" * 400),
        ("machines = 2", "machines = 1" + "0" * 400),
    ],
    ids=["port", "address", "digits", "long_seed", "rate", "machines"],
)
def test_unusable_number_is_refused_by_name(before, after):
    """Guards against a settings file that ends a process without naming the field."""
    with pytest.raises(SettingsError):
        parse_settings(tomllib.loads(TEXT.replace(before, after)))


@pytest.mark.parametrize("value", ["inf", "nan", "-1", "1" + "0" * 400])
def test_bound_that_is_no_finite_number_is_ignored(value):
    """Guards against a bound that ends an entry when it computes its share."""
    text = TEXT.replace("graceS = 6", f"graceS = {value}")
    assert parse_settings(tomllib.loads(text)).bound("graceS", 6) == 6


@pytest.mark.parametrize("role", ["entry", "control"])
def test_error_of_a_task_is_not_reported_as_a_bad_setting(monkeypatch, tmp_path, role):
    """Guards against an operator who searches the settings for an error in the code."""

    def fail(source, signals):
        raise KeyError("no such endpoint")

    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    monkeypatch.setitem(ROLES, role, fail)
    with pytest.raises(KeyError, match="no such endpoint"):
        main([role])


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("error", [KeyError("<fd=17>"), RuntimeError("a task ended")])
def test_process_that_ends_by_an_error_logs_it(
    monkeypatch, tmp_path, capfd, role, error
):
    """Guards against a process whose log doesn't say why it ended, as when an error of
    the event loop ends it."""

    def fail(source, signals):
        raise error

    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    monkeypatch.setitem(ROLES, role, fail)
    with suppress(KeyError):
        main([role])
    line = capfd.readouterr().out
    assert "process=front-a-1 event=process_failed" in line
    assert type(error).__name__ in line
    assert "at=test_settings.py:" in line


def test_process_that_ends_logs_the_first_error(monkeypatch, tmp_path, capfd):
    """Guards against a log that names only what the event loop raised while it shut
    down, and not the error that ended it."""

    def fail(source, signals):
        try:
            raise OSError(9, "Bad file descriptor")
        finally:
            raise KeyError("<fd=17> is not registered") from None

    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    monkeypatch.setitem(ROLES, "entry", fail)
    with suppress(KeyError):
        main(["entry"])
    line = capfd.readouterr().out
    assert "KeyError" in line
    assert "first=\"OSError(9, 'Bad file descriptor')\"" in line
    assert "first_at=test_settings.py:" in line


@pytest.mark.parametrize(
    ("bounds", "limits"),
    [
        ("", QuotaLimits(5_000.0, 0.1, 20.0)),
        ("quotaWindowS = 2\nquotaOverage = 0\nquotaSlack = 3", (2_000.0, 0.0, 3.0)),
        ("quotaWindowS = 0", QuotaLimits()),
        ("quotaWindowS = nan\nquotaOverage = -1", QuotaLimits()),
    ],
)
def test_limits_of_quotas(bounds, limits):
    """Guards against roles that apply other limits than those agreed on."""
    if isinstance(limits, tuple):
        limits = QuotaLimits(*limits)
    text = TEXT.replace("[terms.bounds]\n", f"[terms.bounds]\n{bounds}\n")
    assert quota_limits(parse_settings(tomllib.loads(text))) == limits
