"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..core.input_limits import MAX_PORT, is_magnitude, is_port, is_whole_number
from ..core.receive_memory import DEFAULT_MEMORY_BYTES, DEFAULT_N_DESCRIPTORS

SETTINGS_PATH_VARIABLE = "POLLENFOLD_BOOT"
BYTES_PER_MS_PER_MBPS = 125.0
"""Bytes in a millisecond at 1 Mbit/s."""

MAX_TOLERATED_FAILURES = 100
DEFAULT_PATH = "/etc/pollenfold/settings.toml"


class SettingsError(ValueError):
    """A settings file can't be used; the message names the file or the field."""


@dataclass(frozen=True, slots=True)
class Settings:
    """The fields that pollenfold uses; unknown ones are ignored.

    ``addresses`` maps each purpose to the address that this process listens on for
    it. ``seeds`` are addresses of control replicas; connections between processes use
    only their hosts. ``link_bytes_per_ms`` is the bandwidth of the VM's network link,
    0 when the file doesn't give it. ``memory_bytes`` and ``n_descriptors`` limit the
    process, which is killed beyond the first. ``is_first_start`` is true only while
    the whole system starts for the first time. ``bounds`` holds the limits agreed with
    the platform; a value that isn't a finite number of 0 or more is ignored.
    ``hedge_ratio`` is the limit of hedges per request of a service, 0 for none.
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
    n_tolerated_failures: int
    link_bytes_per_ms: float
    memory_bytes: int
    n_descriptors: int
    bounds: dict[str, float]
    hedge_ratio: float

    def address(self, purpose: str) -> tuple[str, int]:
        """Return the address for a purpose; raise SettingsError if there is none."""
        if purpose not in self.addresses:
            raise SettingsError(
                f"network.listenAddrs.{purpose}: expected an address, got none"
            )
        return self.addresses[purpose]

    def seed_hosts(self) -> list[str]:
        """Return the hosts of the seeds."""
        return [host for host, _ in self.seeds]

    def bound(self, name: str, default: float) -> float:
        """Return a limit agreed with the platform (``terms.bounds``) or the default."""
        return self.bounds.get(name, default)


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_PATH))


def load_settings(path: Path) -> Settings:
    """Read a settings file; raise SettingsError when it can't be used."""
    try:
        fields = _decode(path.read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse_settings(fields)


def _decode(text: str) -> dict[str, Any]:
    """Return the fields of a JSON or TOML file; raise ValueError.

    The template in the deploy file is JSON: the TOML decoder would permanently take
    0.5 MB of memory in every entry, to read one short file.
    """
    if text.lstrip().startswith("{"):
        fields: dict[str, Any] = json.loads(text)
        return fields
    import tomllib

    return tomllib.loads(text)


def parse_settings(fields: dict[str, Any]) -> Settings:
    """Return the settings of decoded fields; raise SettingsError."""
    node = _table(fields, "self")
    network = _table(fields, "network")
    terms = _optional_table(fields, "terms")
    ports = _field(network, "network", "internalPorts", list)
    if len(ports) != 2 or not all(map(is_port, ports)):
        raise SettingsError(f"network.internalPorts: expected two ports, got {ports}")
    if ports[0] == MAX_PORT:
        raise SettingsError(
            f"network.internalPorts: expected a first port below {MAX_PORT}, "
            f"got {ports}"
        )
    listen_addresses = _table(network, "listenAddrs")
    tolerance = _optional_table(terms, "faultTolerance")
    bounds = _optional_table(terms, "bounds")
    zones = _optional_table(network, "zones")
    seeds = network.get("seeds", [])
    if not isinstance(seeds, list):
        raise SettingsError(f"network.seeds: expected a list, got {seeds!r}")
    n_tolerated_failures = tolerance.get("machines", 1)
    if not is_whole_number(n_tolerated_failures, MAX_TOLERATED_FAILURES):
        raise SettingsError(
            "terms.faultTolerance.machines: expected a count, "
            f"got {n_tolerated_failures!r}"
        )
    return Settings(
        name=_field(node, "self", "nodeName", str),
        zone=_field(node, "self", "zone", str),
        host=_field(node, "self", "ip", str),
        addresses={
            key: parse_address(value) for key, value in listen_addresses.items()
        },
        first_port=ports[0],
        last_port=ports[1],
        seeds=tuple(parse_address(seed) for seed in seeds),
        zones=frozenset(zones),
        is_first_start=bool(node.get("bootstrap", False)),
        data_folder=str(node.get("dataDir", "")),
        n_tolerated_failures=n_tolerated_failures,
        link_bytes_per_ms=_link_bytes_per_ms(node),
        memory_bytes=_memory_bytes(node),
        n_descriptors=_n_descriptors(node),
        bounds={k: float(v) for k, v in bounds.items() if is_magnitude(v)},
        hedge_ratio=_hedge_ratio(fields),
    )


def _link_bytes_per_ms(node: dict[str, Any]) -> float:
    """Return the link bandwidth, which the file gives in Mbit/s, in bytes per ms."""
    rate_mbps = _optional_table(node, "limits").get("linkMbps", 0.0)
    if not is_magnitude(rate_mbps):
        raise SettingsError(
            f"self.limits.linkMbps: expected a rate in Mbit/s, got {rate_mbps!r}"
        )
    return float(rate_mbps) * BYTES_PER_MS_PER_MBPS


def _memory_bytes(node: dict[str, Any]) -> int:
    """Return the memory limit of the process, the default when the file gives none."""
    value = _optional_table(node, "limits").get("memoryMb", DEFAULT_MEMORY_BYTES >> 20)
    if not is_magnitude(value) or not value:
        raise SettingsError(
            f"self.limits.memoryMb: expected a positive size in MB, got {value!r}"
        )
    return int(value * (1 << 20))


def _n_descriptors(node: dict[str, Any]) -> int:
    """Return the most descriptors of the process, the default when none are given."""
    value = _optional_table(node, "limits").get("maxFds", DEFAULT_N_DESCRIPTORS)
    if not is_whole_number(value, minimum=1):
        raise SettingsError(
            f"self.limits.maxFds: expected a positive whole number, got {value!r}"
        )
    return value


def _hedge_ratio(fields: dict[str, Any]) -> float:
    """Return the limit of hedges per request, 0 when the file gives none."""
    value = _optional_table(fields, "hedging").get("ratio", 0.0)
    if not is_magnitude(value, 1.0):
        raise SettingsError(
            f"hedging.ratio: expected a number from 0 to 1, got {value!r}"
        )
    return float(value)


def _table(fields: dict[str, Any], name: str) -> dict[str, Any]:
    value = fields.get(name)
    if not isinstance(value, dict):
        raise SettingsError(f"{name}: expected a table, got {value!r}")
    return value


def _optional_table(fields: dict[str, Any], name: str) -> dict[str, Any]:
    return _table(fields, name) if name in fields else {}


def _field(fields: dict[str, Any], table: str, name: str, expected_type: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, expected_type):
        expected = expected_type.__name__
        raise SettingsError(f"{table}.{name}: expected {expected}, got {value!r}")
    return value


def parse_address(text: Any) -> tuple[str, int]:
    """Return host and port of ``10.0.0.1:80``; raise SettingsError."""
    host, _, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or int(port) > MAX_PORT:
        raise SettingsError(f"expected an address like 10.0.0.1:80, got {text!r}")
    return host, int(port)


class SettingsSource:
    """The settings file, which may change while the process runs."""

    def __init__(self, path: Path) -> None:
        """Read the file; raise SettingsError when it can't be used."""
        self._path = path
        self.settings = load_settings(path)

    def reload(self) -> None:
        """Read the file again; if it is invalid, raise SettingsError and keep the old
        settings.
        """
        self.settings = load_settings(self._path)

    def seed_hosts(self) -> list[str]:
        """Return the hosts of the current seeds."""
        return self.settings.seed_hosts()

    def hedge_ratio(self) -> float:
        """Return the limit of hedges per request in the current settings."""
        return self.settings.hedge_ratio
