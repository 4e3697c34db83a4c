"""The entry daemon: caller port, platform port and peer port."""

from __future__ import annotations

import gc
import secrets
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import curio
from loguru import logger

from ..core import directory as control_directory
from ..core.balancing.warmup import Directory, WarmChange
from ..core.clock import Instant
from ..core.directory import LEASE_MS
from ..core.errors import ErrorKind
from ..core.input_limits import is_port
from ..core.membership import Endpoint, EndpointTable, LeaveNotice
from ..http.listener import reserve_when_free, start_listening
from ..http.server import HttpServer
from ..ledger.client import LedgerClient
from ..observe.clock import system_clock
from ..observe.histograms import Histograms
from ..observe.logs import log_failed_step, refuse_reload
from ..observe.signals import Signals, StoppedBeforeStart
from ..observe.statsd_sender import MetricsSender
from ..observe.steps import run_step
from ..wire.frames import Protocol
from ..wire.rpc import RpcServer
from .announcements import AnnouncementHandler
from .configuration import ConfigurationClient, EntryAddresses
from .forwarding import Forwarder
from .gossip import Gossip
from .health import EndpointHealth
from .non_idempotent import NonIdempotentRunner
from .peers import PeerClients
from .platform import PlatformInterface
from .probes import Prober, ProbeResult, ProbeTarget
from .proxy import Proxy
from .refresher import TICK_MS, Refresher
from .services import ServiceTable

if TYPE_CHECKING:
    from ..settings import EntrySettings

MAX_BODY_BYTES = 16 << 20
"""Largest body that the HTTP layer reads; each service has its own lower limit."""

LEDGER_CALL_TIMEOUT_MS = 200.0
"""Covers a sync that stalls on a busy disk. The first majority decides, so the timeout
matters only when too few replicas respond."""

STORE_WAIT_MS = 3000.0
"""How long a planned stop waits for outcomes that are still being stored."""

PLATFORM_WAIT_MS = 1_500.0
"""How long a planned stop waits for the requests on the platform port, and then for
those of its peers."""

IDLE_POLL_MS = 5.0


class Entry:
    """The components of one entry and their connections."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.is_stopping = False
        self._warmup_directory = Directory(0, Instant(0.0), ())
        seed = secrets.randbits(32)
        self.table = EndpointTable()
        self.histograms = Histograms()
        self.configuration = ConfigurationClient(
            settings.entry_id,
            EntryAddresses(
                settings.host,
                settings.caller_port,
                settings.platform_port,
                settings.peer_port,
            ),
            settings.zone,
            list(settings.control.values()),
            None,
            system_clock,
            on_change=self._wake,
        )
        self.peers = PeerClients(settings.entry_id, self.configuration.directory)
        self.gossip = Gossip(self.table, self.peers.get, system_clock, seed)
        self.health = EndpointHealth(
            settings.entry_id,
            LEASE_MS,
            self._directory,
            self.configuration.view,
            self._publish_warm_change,
            system_clock,
        )
        self.services = ServiceTable(settings.zone, seed, system_clock, self.health)
        self.refresher = Refresher(
            self.configuration,
            self.table,
            self.services,
            self._apply_leave_notices,
            system_clock,
        )
        process_id = f"{settings.entry_id}-{secrets.token_hex(4)}"
        ledger = LedgerClient(
            dict(settings.ledger), process_id, system_clock, LEDGER_CALL_TIMEOUT_MS
        )
        self.actions = NonIdempotentRunner(ledger, process_id, system_clock)
        self.proxy = Proxy(
            self.services,
            self.actions,
            Forwarder(
                settings.entry_id, self.configuration.directory, seed, system_clock
            ),
            self.has_lease,
            system_clock,
            self.histograms.record,
        )
        self.announcements = AnnouncementHandler(
            self.table,
            system_clock,
            self._is_known_service,
            self.gossip.push,
            self._report_leave,
        )
        self.prober = Prober(
            self._probe_targets, self._record_probe, system_clock, seed
        )
        self._unpublished: list[Endpoint] = []
        self._unreported: list[LeaveNotice] = []

    def has_lease(self) -> bool:
        """Return whether this entry may accept new requests now.

        After the lease lapsed, the call path has the endpoints of the earlier lease,
        such as those of a zone evacuated since, until the refresher has run.
        """
        refreshed_at = self.refresher.refreshed_at
        if refreshed_at is None or refreshed_at <= self.configuration.lease_since():
            return False
        return self.configuration.has_lease(system_clock())

    def unhealthy_kind(self) -> ErrorKind | None:
        """Return why the platform's balancer should send callers elsewhere."""
        if self.is_stopping:
            return ErrorKind.STOPPING
        if not self.gossip.is_ready:
            return ErrorKind.NOT_READY
        if not self.has_lease():
            return ErrorKind.NO_LEASE
        return None

    def status(self) -> dict[str, Any]:
        """Return the status of this entry for operators."""
        view = self.configuration.view()
        return {
            "entry_id": self.settings.entry_id,
            "zone": self.settings.zone,
            "has_lease": self.has_lease(),
            "revision": view.revision,
            "is_stopping": self.is_stopping,
            "n_storing": self.actions.n_storing,
            "histograms": self.histograms.summary(),
            "services": [
                {
                    "service": runtime.spec.name,
                    "n_in_flight": runtime.slots.n_in_flight,
                    "n_waiting": runtime.slots.n_waiting,
                    "endpoints": {
                        key: {
                            "limit": backend.candidate.limit,
                            "n_in_flight": backend.candidate.n_in_flight,
                            "ewma_ms": round(backend.candidate.ewma_ms, 3),
                            "zone": backend.candidate.zone,
                        }
                        for key, backend in runtime.backends.items()
                    },
                }
                for runtime in self.services.runtimes
            ],
        }

    def gauges(self) -> dict[str, float]:
        """Return the gauges for statsd."""
        gauges = {"lease": float(self.has_lease())}
        for runtime in self.services.runtimes:
            name = runtime.spec.name
            gauges[f"{name}.in_flight"] = runtime.slots.n_in_flight
            gauges[f"{name}.waiting"] = runtime.slots.n_waiting
        for row in self.histograms.summary():
            prefix = f"{row['tenant']}.{row['service']}.{row['class']}"
            gauges[f"{prefix}.p99_ms"] = float(str(row["p99_ms"]))
            gauges[f"{prefix}.responses"] = float(str(row["n_responses"]))
        return gauges

    async def publish(self) -> None:
        """Send warm-up changes to the peers and leaves to the control leader."""
        while True:
            await curio.sleep(TICK_MS / 1000)
            while self._unreported:
                notice = self._unreported.pop()
                await self.configuration.add_leave_notice(
                    control_directory.LeaveNotice(
                        f"{notice.host}:{notice.port}",
                        notice.service,
                        notice.incarnation,
                    )
                )
            endpoints, self._unpublished = self._unpublished, []
            if endpoints:
                await self.gossip.push(endpoints)

    def _wake(self) -> None:
        self.refresher.wake()

    def _directory(self) -> Directory:
        """Return the directory for warm-up; the same object while it is unchanged."""
        directory = self.configuration.directory()
        cached = self._warmup_directory
        if (cached.revision, cached.first_seen) != (
            directory.revision,
            directory.first_seen,
        ):
            self._warmup_directory = Directory(
                directory.revision,
                directory.first_seen,
                tuple(entry.entry_id for entry in directory.entries),
            )
        return self._warmup_directory

    def _probe_targets(self) -> list[ProbeTarget]:
        max_entries = self.configuration.view().fleet.max_entries
        return [
            ProbeTarget(
                runtime.spec.name,
                self.table.endpoints(runtime.spec.name),
                self.health.budget(runtime.spec, max_entries),
            )
            for runtime in self.services.runtimes
        ]

    def _record_probe(self, result: ProbeResult) -> None:
        if result.report is None:
            return
        for runtime in self.services.runtimes:
            if runtime.spec.name == result.endpoint.service:
                runtime.record_report(result.endpoint.name, result.report)

    def _is_known_service(self, name: str) -> bool:
        return any(s.name == name for s in self.configuration.view().services)

    def _report_leave(self, notice: LeaveNotice) -> None:
        self._unreported.append(notice)
        self.refresher.wake()

    def _apply_leave_notices(self) -> None:
        now = system_clock()
        for aged in self.configuration.leave_notices():
            # Another process wrote the name, and the leader doesn't parse it.
            host, _, digits = aged.notice.endpoint.rpartition(":")
            if not (digits.isascii() and digits.isdigit() and is_port(int(digits))):
                continue
            notice = LeaveNotice(
                aged.notice.service, host, int(digits), aged.notice.incarnation
            )
            self.table.apply_leave_notice(notice, now)

    def _publish_warm_change(self, change: WarmChange) -> None:
        """Merge a change immediately; ``publish`` pushes it to the peers."""
        endpoint = change.endpoint
        logger.info(
            "event=warm_state service={} endpoint={} is_warm={} reason={}",
            endpoint.service,
            endpoint.name,
            endpoint.warm.is_warm,
            change.reason.value,
        )
        self.table.merge(endpoint, system_clock())
        self._unpublished.append(endpoint)
        self.refresher.wake()


async def serve_entry(settings: EntrySettings) -> None:
    """Run an entry until SIGTERM or SIGINT, then stop without aborting requests.

    Raise OSError when an address is in use, before any connection is accepted.
    """
    with Signals() as signals, suppress(StoppedBeforeStart):
        await _serve_entry(settings, signals)


async def _serve_entry(settings: EntrySettings, signals: Signals) -> None:
    # All are reserved before any listens, since an entry that lacks one ends.
    platform_listener, peer_listener, caller_listener = (
        reserve_when_free(settings.host, port, signals.check_not_stopped)
        for port in (settings.platform_port, settings.peer_port, settings.caller_port)
    )
    entry = Entry(settings)
    callers = HttpServer(entry.proxy.handle, MAX_BODY_BYTES)
    platform = HttpServer(
        PlatformInterface(
            entry.unhealthy_kind,
            entry.announcements.handle,
            entry.status,
            settings.token.get_secret_value(),
        ).handle
    )
    peer_server = RpcServer(
        {
            Protocol.LEASE: entry.configuration.forward,
            Protocol.MEMBERSHIP: entry.gossip.handle,
        }
    )
    async with curio.TaskGroup(wait=None) as group:
        stop = await group.spawn(signals.wait_for_stop, refuse_reload)
        for listener in (platform_listener, peer_listener, caller_listener):
            start_listening(listener)
        await platform.start_on(platform_listener)
        await group.spawn(peer_server.serve_on, peer_listener)
        await group.spawn(entry.configuration.run)
        await group.spawn(entry.gossip.run)
        await group.spawn(entry.refresher.run)
        await group.spawn(entry.publish)
        await group.spawn(entry.prober.run)
        if settings.statsd is not None:
            prefix = f"pollenfold.{settings.entry_id}"
            sender = MetricsSender(settings.statsd, prefix, entry.gauges)
            await group.spawn(sender.run)
        await callers.start_on(caller_listener)
        # The objects that exist now live as long as the process; freezing them keeps
        # the garbage collector from traversing them while requests are handled.
        gc.collect()
        gc.freeze()
        logger.info(
            "event=started entry_id={} zone={} caller_port={}",
            settings.entry_id,
            settings.zone,
            settings.caller_port,
        )
        first_done = await group.next_done()
        if first_done is not stop:
            logger.error("event=task_failed task={}", first_done.name)
        await drain(entry, callers, settings.drain_notice_ms)
        await run_step("stop_platform", log_failed_step, stop_platform, platform)
        await run_step(
            "stop_peers", log_failed_step, peer_server.stop, PLATFORM_WAIT_MS
        )
        await group.cancel_remaining()
    if first_done is not stop:
        raise first_done.exception or RuntimeError("a task ended unexpectedly")


async def drain(entry: Entry, callers: HttpServer, notice_ms: float) -> None:
    """Complete a planned stop while the other tasks still run.

    The health check fails first, so that the platform's balancer routes new callers to
    other entries before the port closes.
    """
    entry.is_stopping = True
    await run_step("announce_stop", log_failed_step, callers.announce_stop)
    logger.info("event=stopping n_in_flight={}", callers.n_in_flight)
    await curio.sleep(notice_ms / 1000)
    await run_step("stop_callers", log_failed_step, callers.stop)
    await run_step("wait_for_callers", log_failed_step, callers.wait_idle)
    # A wait that failed doesn't cut off what is in flight.
    while callers.n_in_flight:
        await curio.sleep(IDLE_POLL_MS / 1000)
    wait_until = system_clock() + STORE_WAIT_MS
    while entry.actions.n_storing and system_clock() < wait_until:
        await curio.sleep(IDLE_POLL_MS / 1000)
    logger.info("event=stopped n_not_stored={}", entry.actions.n_storing)


async def stop_platform(platform: HttpServer) -> None:
    """Answer what was read on the platform port, the last one of a stopping entry.

    Until then, the platform's balancer learns from it that the entry stops.
    """
    await platform.stop()
    async with curio.ignore_after(PLATFORM_WAIT_MS / 1000):
        await platform.wait_idle()
    logger.info("event=platform_port_closed n_unanswered={}", platform.n_in_flight)
