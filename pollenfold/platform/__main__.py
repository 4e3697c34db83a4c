"""Runs one role on the platform: ``python3 -m pollenfold.platform entry``."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

from ..curio_subset import load_curio_subset
from ..http.listener import open_listener
from .settings import Settings, SettingsError, SettingsSource, settings_path

EXIT_BAD_SETTING = 2
EXIT_FAILED = 1

PEER_PORT_OFFSET = 0
FEED_PORT_OFFSET = 1
RELAY_PORT_OFFSET = 2

METRICS_PORTS = {"entry": 7670, "control": 7671}
"""The same ports as in the deploy file, which sets one per role for all VMs."""


def _run_entry(source: SettingsSource) -> None:
    settings = source.settings
    caller_listener = open_listener(*settings.addresses["front"])
    load_curio_subset()
    import curio

    from ..core.retry_budget import RetryLimits
    from ..gateway.daemon import GatewaySettings, serve_gateway
    from .documents import configuration_decoder
    from .headers import DIALECT

    ready_host, ready_port = settings.addresses["ready"]
    retry_limits = RetryLimits(
        settings.bound("budgetRatio", 0.1),
        settings.bound("extraRetries", 10),
        settings.bound("budgetWindowS", 10) * 1000,
    )
    gateway = GatewaySettings(
        entry_id=settings.name,
        zone=settings.zone,
        host=settings.host,
        caller_listener=caller_listener,
        ready_host=ready_host,
        ready_port=ready_port,
        ready_path="/-/readyz",
        feed_port=settings.first_port + FEED_PORT_OFFSET,
        metrics_port=METRICS_PORTS["entry"],
        seeds=source.seed_hosts,
        reload=source.reload,
        grace_ms=settings.bound("graceS", 6) * 1000,
        retry_limits=retry_limits,
        probes_per_s=settings.bound("probesPerS", 10),
        cold_burst_factor=settings.bound("warmupBurstFactor", 1.0),
        cold_slack=settings.bound("coldSlack", 0),
        link_bytes_per_ms=settings.link_bytes_per_ms,
        relay_port=_relay_port(settings),
        apply_ms=settings.bound("applyMs", 2_000.0),
    )
    curio.run(serve_gateway, gateway, DIALECT, configuration_decoder())


def _relay_port(settings: Settings) -> int:
    """Return the port of entries for their peers, or 0 if there is none to spare."""
    port = settings.first_port + RELAY_PORT_OFFSET
    return port if port <= settings.last_port else 0


def _run_control(source: SettingsSource) -> None:
    import curio

    from ..control.cluster import ClusterSettings, serve_cluster
    from .control_api import make_handler

    settings = source.settings
    api_host, api_port = settings.addresses["control"]
    founder = min(settings.seeds, default=("", 0))
    cluster = ClusterSettings(
        name=settings.name,
        zone=settings.zone,
        host=settings.host,
        peer_port=settings.first_port + PEER_PORT_OFFSET,
        feed_port=settings.first_port + FEED_PORT_OFFSET,
        api_host=api_host,
        api_port=api_port,
        metrics_port=METRICS_PORTS["control"],
        data_folder=Path(settings.data_folder or "data"),
        seeds=source.seed_hosts,
        reload=source.reload,
        is_founder=settings.is_first_start and founder == (api_host, api_port),
        n_members=2 * settings.n_tolerated_failures + 1,
    )
    handler = make_handler(api_port, settings.zones)
    curio.run(serve_cluster, cluster, handler)


ROLES = {"entry": _run_entry, "control": _run_control}


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped; return the exit status."""
    # Settings are read after this, so a reload signal ignored until then is harmless.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(arguments) != 1 or arguments[0] not in ROLES:
        expected = " or ".join(ROLES)
        print(f"pollenfold.platform: expected {expected}", file=sys.stderr)
        return EXIT_BAD_SETTING
    try:
        source = SettingsSource(settings_path())
        ROLES[arguments[0]](source)
    except (SettingsError, KeyError) as error:
        print(f"pollenfold.platform: bad settings: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    except (OSError, RuntimeError) as error:
        # A port in use, an unusable data folder, or a task that ended unexpectedly.
        print(f"pollenfold.platform: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
