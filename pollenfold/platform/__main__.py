"""Runs one role on the platform: ``python3 -m pollenfold.platform entry``."""

from __future__ import annotations

import socket
import sys
from dataclasses import dataclass
from pathlib import Path

from ..core.tenancy.quota_limits import QuotaLimits
from ..curio_subset import load_curio_subset
from ..http.listener import reserve_when_free, start_listening
from ..http.queued_connections import refuse_queued
from ..observe.signals import Signals, StoppedBeforeStart
from ..wire.receive_buffers import receive_buffers
from .ports import Ports, assign_ports
from .settings import Settings, SettingsError, SettingsSource, settings_path

EXIT_BAD_SETTING = 2
EXIT_FAILED = 1


@dataclass(frozen=True, slots=True)
class _EntryListeners:
    """The sockets of an entry; only that for callers listens yet."""

    callers: socket.socket
    ready: socket.socket
    peers: socket.socket | None


def _listen_for_callers(
    settings: Settings, ports: Ports, signals: Signals
) -> _EntryListeners:
    """Reserve all addresses of an entry, then listen for callers.

    Raise OSError if an address stays in use, and SettingsError if one is missing. An
    entry without its port for peers would be of no help to callers of entries that are
    cut off from the endpoints.
    """
    check = signals.check_not_stopped
    ready = reserve_when_free(*settings.address("ready"), check)
    peers = None
    if ports.relay:
        peers = reserve_when_free(settings.host, ports.relay, check)
    callers = reserve_when_free(*settings.address("front"), check)
    start_listening(callers)
    return _EntryListeners(callers, ready, peers)


def _run_entry(source: SettingsSource, signals: Signals) -> None:
    settings = source.settings
    ports = _ports("entry", settings)
    listeners = _listen_for_callers(settings, ports, signals)
    try:
        _serve_entry(source, ports, listeners, signals)
    except Exception:
        # The drain of a loop that ran has closed the listener already.
        refuse_queued(listeners.callers)
        raise


def _serve_entry(
    source: SettingsSource, ports: Ports, listeners: _EntryListeners, signals: Signals
) -> None:
    settings = source.settings
    load_curio_subset()
    import curio

    from ..core.retry_budget import RetryLimits
    from ..gateway.daemon import GatewaySettings, serve_gateway
    from ..gateway.rollouts.contact import DEFAULT_CONTACT_MS
    from .documents import configuration_decoder
    from .headers import DIALECT

    retry_limits = RetryLimits(
        settings.bound("budgetRatio", 0.1),
        settings.bound("extraRetries", 10),
        settings.bound("budgetWindowS", 10) * 1000,
    )
    gateway = GatewaySettings(
        entry_id=settings.name,
        zone=settings.zone,
        host=settings.host,
        caller_listener=listeners.callers,
        ready_listener=listeners.ready,
        ready_path="/-/readyz",
        feed_port=ports.feed,
        metrics_port=ports.metrics,
        seeds=source.seed_hosts,
        reload=source.reload,
        grace_ms=settings.bound("graceS", 6) * 1000,
        retry_limits=retry_limits,
        probes_per_s=settings.bound("probesPerS", 10),
        cold_burst_factor=settings.bound("warmupBurstFactor", 1.0),
        cold_slack=settings.bound("coldSlack", 0),
        link_bytes_per_ms=settings.link_bytes_per_ms,
        relay_port=ports.relay,
        peer_listener=listeners.peers,
        apply_ms=settings.bound("applyMs", 2_000.0),
        memory_bytes=settings.memory_bytes,
        contact_ms=settings.bound("contactMs", DEFAULT_CONTACT_MS),
        quota_limits=quota_limits(settings),
        hedge_ratio=source.hedge_ratio,
    )
    curio.run(serve_gateway, gateway, DIALECT, configuration_decoder(), signals)


def quota_limits(settings: Settings) -> QuotaLimits:
    """Return the limit on the sum of a tenant's requests, which both roles apply."""
    return QuotaLimits(
        (settings.bound("quotaWindowS", 5.0) or 5.0) * 1000,
        settings.bound("quotaOverage", 0.1),
        settings.bound("quotaSlack", 20.0),
    )


def _ports(role: str, settings: Settings) -> Ports:
    """Return the ports of a role, apart from those that the platform assigns."""
    used_ports = {port for _, port in (*settings.addresses.values(), *settings.seeds)}
    return assign_ports(role, settings.first_port, settings.last_port, used_ports)


def _run_control(source: SettingsSource, signals: Signals) -> None:
    import curio

    from ..control.cluster import ClusterSettings, serve_cluster
    from ..control.rollouts import RolloutSettings
    from ..core.rollouts.controller import ExposureLimits
    from .control_api import make_handler
    from .quota_documents import quota_decoder

    settings = source.settings
    ports = _ports("control", settings)
    api_host, api_port = settings.address("control")
    founder = min(settings.seeds, default=("", 0))
    cluster = ClusterSettings(
        name=settings.name,
        zone=settings.zone,
        host=settings.host,
        peer_port=ports.agreement,
        feed_port=ports.feed,
        api_host=api_host,
        api_port=api_port,
        metrics_port=ports.metrics,
        data_folder=Path(settings.data_folder or "data"),
        seeds=source.seed_hosts,
        reload=source.reload,
        is_founder=settings.is_first_start and founder == (api_host, api_port),
        n_members=2 * settings.n_tolerated_failures + 1,
        rollouts=RolloutSettings(
            ExposureLimits(
                settings.bound("exposeShare", 0.1),
                settings.bound("exposeSlack", 50),
                settings.bound("rollbackMs", 5_000.0),
            ),
            settings.bound("contactMs", 2_000.0),
        ),
        decode_quotas=quota_decoder(),
        quota_limits=quota_limits(settings),
    )
    handler = make_handler(api_port, settings.zones)
    curio.run(serve_cluster, cluster, handler, signals)


ROLES = {"entry": _run_entry, "control": _run_control}


def main(arguments: list[str]) -> int:
    """Run a role until it is stopped; return the exit status."""
    if len(arguments) != 1 or arguments[0] not in ROLES:
        expected = " or ".join(ROLES)
        print(f"pollenfold.platform: expected {expected}", file=sys.stderr)
        return EXIT_BAD_SETTING
    # Set before the settings are read, so that no reload is missed.
    with Signals() as signals:
        return _run(arguments[0], signals)


def _run(role: str, signals: Signals) -> int:
    process = role
    try:
        source = SettingsSource(settings_path())
        settings = source.settings
        process = settings.name
        receive_buffers.configure(settings.memory_bytes, settings.n_descriptors)
        ROLES[role](source, signals)
    except SettingsError as error:
        print(f"pollenfold.platform: bad settings: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    except (OSError, RuntimeError) as error:
        # A port in use, an unusable data folder, or a task that ended unexpectedly.
        _report_failure(process, error)
        return EXIT_FAILED
    except StoppedBeforeStart:
        return 0
    except Exception as error:
        # An error of the event loop ends all tasks at once, so nothing else logs it.
        _report_failure(process, error)
        raise
    return 0


def _report_failure(process: str, error: Exception) -> None:
    # Imported late: the event log needs curio, of which an entry loads only a part.
    from ..observe.failure import report_failure

    report_failure(process, error)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
