"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import json
import math
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

BOOT_VARIABLE = "POLLENFOLD_BOOT"
BYTES_PER_MS_OF_MBPS = 125.0
"""Bytes in a millisecond at 1 Mbit/s."""

DEFAULT_PATH = "/etc/pollenfold/settings.toml"


class SettingsError(ValueError):
    """A settings file that can't be used; the text names the field."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The fields that pollenfold uses; unknown ones are ignored.

    ``addresses`` holds what this process listens on, by purpose. ``seeds`` are
    addresses of control replicas, of which only the hosts are used between processes.
    ``link_bytes_per_ms`` is the rate of the VM's link, 0 when it isn't told.
    ``is_first_start`` is true only while the whole system starts for the first time.
    """

    name: str
    zone: str
    host: str
    addresses: dict[str, tuple[str, int]]
    first_port: int
    last_port: int
    seeds: tuple[tuple[str, int], ...]
    zones: frozenset[str]
    is_first_start: bool
    data_folder: str
    n_machines_lost: int
    link_bytes_per_ms: float
    bounds: dict[str, float]

    def seed_hosts(self) -> list[str]:
        """Return the hosts of the seeds."""
        return [host for host, _ in self.seeds]

    def bound(self, name: str, default: float) -> float:
        """Return a bound that both sides agreed on."""
        return self.bounds.get(name, default)


def settings_path() -> Path:
    """Return where the settings file is."""
    return Path(os.environ.get(BOOT_VARIABLE, DEFAULT_PATH))


def load_settings(path: Path) -> Settings:
    """Read a settings file; raise SettingsError when it can't be used."""
    try:
        fields = _decode(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse_settings(fields)


def _decode(text: str) -> dict[str, Any]:
    """Return the fields of a JSON or TOML file; raise ValueError.

    The deploy file asks for JSON: the TOML reader would take 0.5 MB of every entry
    for good, to read one short file.
    """
    if text.lstrip().startswith("{"):
        fields: dict[str, Any] = json.loads(text)
        return fields
    import tomllib

    return tomllib.loads(text)


def parse_settings(fields: dict[str, Any]) -> Settings:
    """Return the settings of decoded fields; raise SettingsError."""
    me = _table(fields, "self")
    network = _table(fields, "network")
    terms = _optional_table(fields, "terms")
    ports = _field(network, "network", "internalPorts", list)
    if len(ports) != 2 or not all(type(port) is int for port in ports):
        raise SettingsError(f"network.internalPorts: expected two ports, got {ports}")
    listen = _table(network, "listenAddrs")
    tolerance = _optional_table(terms, "faultTolerance")
    bounds = _optional_table(terms, "bounds")
    zones = _optional_table(network, "zones")
    seeds = network.get("seeds", [])
    if not isinstance(seeds, list):
        raise SettingsError(f"network.seeds: expected a list, got {seeds!r}")
    n_machines_lost = tolerance.get("machines", 1)
    if type(n_machines_lost) is not int or n_machines_lost < 0:
        raise SettingsError(
            f"terms.faultTolerance.machines: expected a count, got {n_machines_lost!r}"
        )
    return Settings(
        name=_field(me, "self", "nodeName", str),
        zone=_field(me, "self", "zone", str),
        host=_field(me, "self", "ip", str),
        addresses={key: parse_address(value) for key, value in listen.items()},
        first_port=ports[0],
        last_port=ports[1],
        seeds=tuple(parse_address(seed) for seed in seeds),
        zones=frozenset(zones),
        is_first_start=bool(me.get("bootstrap", False)),
        data_folder=str(me.get("dataDir", "")),
        n_machines_lost=n_machines_lost,
        link_bytes_per_ms=_link_bytes_per_ms(me),
        bounds={k: float(v) for k, v in bounds.items() if type(v) in (int, float)},
    )


def _link_bytes_per_ms(me: dict[str, Any]) -> float:
    """Return the rate of the link, which the file gives in Mbit/s."""
    rate_mbps = _optional_table(me, "limits").get("linkMbps", 0.0)
    if type(rate_mbps) not in (int, float) or not 0.0 <= rate_mbps < math.inf:
        raise SettingsError(
            f"self.limits.linkMbps: expected a rate in Mbit/s, got {rate_mbps!r}"
        )
    return float(rate_mbps) * BYTES_PER_MS_OF_MBPS


def _table(fields: dict[str, Any], name: str) -> dict[str, Any]:
    value = fields.get(name)
    if not isinstance(value, dict):
        raise SettingsError(f"{name}: expected a table, got {value!r}")
    return value


def _optional_table(fields: dict[str, Any], name: str) -> dict[str, Any]:
    return _table(fields, name) if name in fields else {}


def _field(fields: dict[str, Any], table: str, name: str, kind: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, kind):
        expected = kind.__name__
        raise SettingsError(f"{table}.{name}: expected {expected}, got {value!r}")
    return value


def parse_address(text: Any) -> tuple[str, int]:
    """Return host and port of ``10.0.0.1:80``; raise SettingsError."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"expected an address like 10.0.0.1:80, got {text!r}")
    return host, int(port)


class SettingsSource:
    """The settings file, which may change while the process runs."""

    def __init__(self, path: Path) -> None:
        """Read the file; raise SettingsError when it can't be used."""
        self._path = path
        self.settings = load_settings(path)

    def reload(self) -> None:
        """Read the file anew; raise SettingsError and keep the old settings."""
        self.settings = load_settings(self._path)

    def seed_hosts(self) -> list[str]:
        """Return the present seeds."""
        return self.settings.seed_hosts()
