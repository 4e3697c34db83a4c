"""The gateway daemon: caller port, readiness, metrics and control feeds."""

from __future__ import annotations

import gc
import logging
import math
import os
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache, partial
from typing import Any

import curio

from ..core.clock import Instant, add_ms, remaining_ms
from ..core.confirmation import VALIDITY_SHARE, Confirmations
from ..core.errors import ErrorKind
from ..core.link import Link
from ..core.receive_memory import DEFAULT_MEMORY_BYTES
from ..core.retry_budget import RetryBudget, RetryLimits
from ..core.routes import CallerLimits
from ..core.send_memory import SEND_SHARE
from ..core.tenancy.quota_limits import QuotaLimits
from ..http.caller_outputs import CallerOutputs
from ..http.exchanges import ABANDONED
from ..http.listener import start_listening
from ..http.memory import MemoryBudget
from ..http.messages import Request, Response, error_response
from ..http.request_reader import (
    BODY_BUDGET_BYTES,
    BODY_WINDOW_BYTES,
    ServerLimits,
    SizeRefusal,
)
from ..http.server import HttpServer
from ..observe.clock import system_clock
from ..observe.daemon import (
    end_after_failure,
    failed_step_logger,
    metrics_response,
    reload_settings,
    serve_metrics,
    wait_for_end,
)
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from ..observe.hold_ups import HoldUps
from ..observe.memory_monitor import MemoryMonitor
from ..observe.signals import Signals, StopRequest
from ..observe.steps import run_step
from ..wire.receive_buffers import receive_buffers
from .balancer import Balancer
from .dialect import Dialect
from .feeds import FeedIdentity, Feeds
from .forward import NOT_READY_RETRY_AFTER_MS, Forwarder
from .hedge_switch import no_hedges
from .peer_port import PeerPort
from .quotas.gate import QuotaGate
from .reach_monitor import ReachMonitor
from .relay.client import RelayClient
from .response_memory import RESPONSE_MEMORY
from .rollouts.contact import DEFAULT_CONTACT_MS
from .rollouts.reports import RolloutReporter
from .settings import BalancerSettings
from .slow_callers import SlowCallerReport
from .state_loader import Decode
from .view import FleetView

READY_SETTLE_MS = 1_800.0
"""How long a starting entry without known endpoints stays unready."""

FIRST_CONFIGURATION_WAIT_MS = 400.0
"""How long after its start an entry holds requests until it has a configuration.

The first configuration arrives one or two round trips after the start. Refusing a
request before that would use up one of the caller's few attempts."""

FIRST_CONFIGURATION_POLL_MS = 5.0

NOT_READY = SizeRefusal(ErrorKind.NOT_READY, NOT_READY_RETRY_AFTER_MS / 1000)
NOT_CONFIRMED = SizeRefusal(ErrorKind.NOT_CONFIRMED)

LIMITS_WITHOUT_CONFIGURATION = ServerLimits(size_refusal=lambda: NOT_READY)
"""Bounds memory until the first configuration, which may allow larger requests."""

MAX_LOGGED_ID_BYTES = 80

RETRY_SHARE_INTERVAL_MS = 1_000.0

STOP_NOTICE_MS = 2_700.0
"""How long a stopping entry accepts connections, until the balancer drops it.

The balancer asks once per second and drops an entry after two refusals. With
``FIRST_REQUEST_WAIT_MS``, the last request is accepted within 3 s of the signal:
callers expect that one accepted later is completed within the grace period."""

STOP_MARGIN_MS = 500.0
IDLE_POLL_MS = 5.0
CLOSE_WAIT_MS = 100.0
FINAL_RESPONSE_MS = 200.0
"""How long before the end of a stop pending requests get their final responses."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses and limits of one entry.

    ``caller_listener`` is already listening, so that no caller is refused while the
    entry starts. ``ready_listener`` and ``peer_listener`` hold their addresses and
    listen once the entry serves; without the latter it serves no peers.
    ``seeds``, ``reload`` and ``hedge_ratio`` belong to the settings source: ``seeds``
    returns the hosts of control replicas, ``reload`` reads the settings again and
    raises ValueError when they are invalid, and ``hedge_ratio`` returns how many hedges
    all entries may send for each request of a service.
    ``link_bytes_per_ms`` is the bandwidth of the VM's own link, 0 when unknown.
    ``grace_ms`` is the time between the stop signal and the end of the process.
    ``relay_port`` is the port of all entries for requests of their peers, 0 for none.
    Accepted changes must be in force everywhere within ``apply_ms``. A process
    that uses more than ``memory_bytes`` is killed. After ``contact_ms`` without contact
    with control the entry doesn't rely on the stages of roll-outs.
    """

    entry_id: str
    zone: str
    host: str
    caller_listener: socket.socket
    ready_listener: socket.socket
    ready_path: str
    feed_port: int
    metrics_port: int | None
    seeds: Callable[[], list[str]]
    reload: Callable[[], None]
    grace_ms: float
    retry_limits: RetryLimits
    probes_per_s: float
    cold_burst_factor: float
    cold_slack: float
    link_bytes_per_ms: float = 0.0
    relay_port: int = 0
    peer_listener: socket.socket | None = None
    apply_ms: float = 2_000.0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    contact_ms: float = DEFAULT_CONTACT_MS
    quota_limits: QuotaLimits = QuotaLimits()
    hedge_ratio: Callable[[], float] = no_hedges


class Gateway:
    """The components of one entry."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        decode: Decode,
    ) -> None:
        self.settings = settings
        RESPONSE_MEMORY.set_process_limit(settings.memory_bytes)
        self._dialect = dialect
        clock = system_clock
        rng = random.Random(os.urandom(8))
        self.log = EventLog(settings.entry_id, clock)
        self.metrics = Metrics()
        self.hold_ups = HoldUps(clock, self._log_hold_up)
        self.memory_monitor = MemoryMonitor(receive_buffers, self.metrics, self.log)
        confirmations = Confirmations(VALIDITY_SHARE * settings.apply_ms)
        self.view = FleetView(decode, clock, self.log, rng, confirmations)
        limits = BalancerSettings(
            settings.entry_id,
            settings.zone,
            settings.probes_per_s,
            settings.cold_burst_factor,
            settings.cold_slack,
            clock(),
        )
        link = Link(settings.link_bytes_per_ms)
        self.relay_client = RelayClient(
            dialect,
            self.view,
            settings.relay_port,
            settings.host,
            clock,
            self.log,
            self.metrics,
            rng,
            link,
        )
        self.monitor = ReachMonitor(
            self.view,
            dialect,
            settings.zone,
            self.relay_client,
            clock,
            self.log,
            self.metrics,
            rng,
            link,
        )
        self.balancer = Balancer(
            self.view,
            dialect,
            limits,
            clock,
            self.metrics,
            rng,
            link,
            self.monitor,
            self.log,
        )
        self.retry_budget = RetryBudget(
            settings.retry_limits, settings.entry_id, clock()
        )
        self.quotas = QuotaGate(
            settings.quota_limits,
            settings.entry_id,
            lambda: self.feeds.leader,
            self.view,
            clock,
            self.log,
            self.metrics,
        )
        self.forwarder = Forwarder(
            self.view,
            self.balancer,
            dialect,
            self.retry_budget,
            clock,
            self.log,
            self.metrics,
            rng,
            link,
            self.monitor,
            self.relay_client,
            self.quotas,
            settings.hedge_ratio,
        )
        identity = FeedIdentity(
            settings.entry_id,
            settings.zone,
            host=settings.host,
            is_peer=settings.relay_port > 0,
        )
        self.feeds = Feeds(
            identity, self.view, settings.seeds, settings.feed_port, clock, self.log
        )
        self.forwarder.control_contact.connect(self.feeds, settings.contact_ms)
        version_outcomes = self.forwarder.version_outcomes
        self.rollout_reporter = RolloutReporter(
            self.view, version_outcomes, self.feeds, clock, self.log, rng
        )
        self.feeds.add_part("granted", self.quotas.apply_answers)
        self.started_at = clock()
        self.is_stopping = False
        self.answer_by = Instant(math.inf)
        """When requests that still wait get a response, since the entry stops."""

        budget = MemoryBudget(BODY_BUDGET_BYTES)
        self.caller_outputs = CallerOutputs(
            int(settings.memory_bytes * SEND_SHARE),
            lambda: self._caller_limits().idle_timeout_ms,
            SlowCallerReport(self.metrics, self.log, clock).record,
        )
        RESPONSE_MEMORY.on_full = self.caller_outputs.relieve
        self.caller_server = HttpServer(
            self.handle_caller,
            limits=self._caller_limits,
            on_rejected=self._log_rejected,
            allows_concurrency=self.forwarder.is_idempotent,
            window_bytes=BODY_WINDOW_BYTES,
            budget=budget,
            on_unanswered=self._log_unanswered,
            outputs=self.caller_outputs,
        )
        self.peer_port = PeerPort(
            self.forwarder,
            self.view.peer_directory,
            self.monitor,
            lambda: self.caller_server.n_in_flight,
            self._caller_limits,
            self._log_rejected,
            self._log_unanswered,
            budget,
            clock,
            self.log,
            self.metrics,
        )
        self.platform_server = HttpServer(self.handle_platform)
        self._is_ready = False

    def _caller_limits(self) -> ServerLimits:
        configuration = self.view.configuration
        if configuration is None:
            return LIMITS_WITHOUT_CONFIGURATION
        return _server_limits(configuration.limits, self._size_refusal)

    def _size_refusal(self) -> SizeRefusal | None:
        """Return what is said instead of "too large", or None on a current state.

        "Too large" is a claim about the newest configuration, like "no such route".
        """
        return None if self.view.is_state_current() else NOT_CONFIRMED

    def _log_rejected(self, kind: ErrorKind, detail: str, peer: str) -> None:
        self.metrics.count("refused_total", kind=kind.value)
        self.log.request(
            "request_rejected", True, kind=kind.value, detail=detail, peer=peer
        )

    def _log_unanswered(self, request: Request, reason: str) -> None:
        """Count and log a request that ended without a complete response."""
        self.metrics.count("unanswered_total", reason=reason)
        if reason == ABANDONED:
            # The line of the request says that its caller had gone.
            return
        request_id = request.header(self._dialect.request_id) or b"none"
        self.log.request(
            "request_unanswered",
            True,
            request=request_id[:MAX_LOGGED_ID_BYTES].decode("latin-1"),
            reason=reason,
            peer=request.peer,
            stopping=self.is_stopping,
        )

    def _log_hold_up(self, cause: str, longest_ms: float) -> None:
        self.metrics.count("hold_ups_total", cause=cause)
        self.log.state("held_up", cause=cause, longest_ms=longest_ms)

    def log_stop(self, event: str, stop: StopRequest) -> None:
        """Log the start or end of a stop, with what callers can be compared with."""
        server = self.caller_server
        self.log.state(
            event,
            signal=stop.signal_name,
            since_signal_ms=system_clock() - stop.received_at,
            n_in_flight=self.peer_port.n_in_flight,
            n_connections=server.n_connections,
            n_accepted=server.counts.n_accepted,
            n_requests=server.counts.n_requests,
            n_unanswered=server.counts.n_unanswered,
        )

    def unready_kind(self) -> ErrorKind | None:
        """Return why the entry should receive no new connections, or None."""
        if self.is_stopping:
            return ErrorKind.STOPPING
        if self.view.configuration is None:
            return ErrorKind.NOT_READY
        # Without a peer that helps, no other entry serves these callers better.
        if self.monitor.is_cut and self.monitor.has_reaching_peer:
            return ErrorKind.NO_BACKEND_SERVER
        is_settled = system_clock() - self.started_at > READY_SETTLE_MS
        if not self.view.endpoints and not is_settled:
            return ErrorKind.NOT_READY
        return None

    async def handle_caller(self, request: Request) -> Response | None:
        """Handle a caller's request; just after the start, wait for routing data."""
        wait_until = add_ms(self.started_at, FIRST_CONFIGURATION_WAIT_MS)
        while not self._can_route() and system_clock() < min(
            wait_until, self.answer_by
        ):
            await curio.sleep(FIRST_CONFIGURATION_POLL_MS / 1000)
        return await self.forwarder.handle(request)

    def _can_route(self) -> bool:
        return self.view.configuration is not None and bool(self.view.by_service)

    async def update_retry_share(self) -> None:
        """Keep this entry's share of the retries up to date until cancelled."""
        while True:
            self.retry_budget.update_share(
                self.view.fleet, self.view.entry_ids, system_clock()
            )
            if self.view.configuration is not None:
                self.retry_budget.retain(self.view.configuration.services)
                self.forwarder.hedges.retain(self.view.configuration.services)
            await curio.sleep(RETRY_SHARE_INTERVAL_MS / 1000)

    def reload(self) -> None:
        """Reload the settings."""
        settings = self.settings
        reload_settings(settings.reload, settings.seeds, self.log)

    async def handle_platform(self, request: Request) -> Response:
        """Respond to a readiness check of the platform or to a metrics request."""
        if request.path == "/metrics":
            self.metrics.set(
                "configuration_version", self.view.replicated_state.version
            )
            self.metrics.set("orders_index", self.view.replicated_state.index)
            is_current = self.view.is_state_current()
            self.metrics.set("configuration_confirmed", float(is_current))
            self.metrics.set("feeds_connected", self.feeds.n_connected)
            self.metrics.set("requests_in_flight", self.peer_port.n_in_flight)
            self.metrics.set("send_memory_bytes", self.caller_outputs.n_bytes)
            self.metrics.set("peers", len(self.view.peers))
            self.metrics.set("endpoints", len(self.view.endpoints))
            self.metrics.set("endpoints_resting", self.view.n_backing_off)
            self.metrics.set("endpoints_limited", self.view.n_limited)
            self.metrics.set("requests_quarantined", self.view.quarantine.n_quarantined)
            self.metrics.set("entries", self.view.fleet.get(system_clock()))
            self.view.malformed.export(self.metrics)
            self.forwarder.version_outcomes.export()
            return metrics_response(self.metrics, self.log)
        if request.path != self.settings.ready_path:
            return error_response(ErrorKind.NOT_FOUND)
        kind = self.unready_kind()
        if (kind is None) != self._is_ready:
            self._is_ready = kind is None
            reason = "none" if kind is None else kind.value
            self.log.state("readiness_changed", ready=kind is None, reason=reason)
        return Response(200, []) if kind is None else error_response(kind)


@lru_cache(maxsize=2)
def _server_limits(
    limits: CallerLimits, size_refusal: Callable[[], SizeRefusal | None]
) -> ServerLimits:
    """Return the limits of the caller port.

    They are cached, since they are asked for several times for each request.
    """
    return ServerLimits(
        body_bytes=limits.body_bytes,
        head_bytes=limits.head_bytes,
        head_timeout_ms=limits.head_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms + 1_000.0,
        announced_idle_s=max(1, int(limits.idle_timeout_ms / 1000)),
        size_refusal=size_refusal,
    )


async def serve_gateway(
    settings: GatewaySettings,
    dialect: Dialect,
    decode: Decode,
    signals: Signals,
) -> None:
    """Run an entry until SIGTERM or SIGINT, then stop without aborting requests.

    ``signals`` keeps the signals since before the caller listener was opened. Raise
    OSError when an address is in use, and the error of a task that ends early, both
    after the requests that were accepted are answered.
    """
    # Curio's kernel logs a warning for each timeout that a response only just met.
    logging.getLogger("curio").setLevel(logging.ERROR)
    gateway = Gateway(settings, dialect, decode)
    async with curio.TaskGroup(wait=None) as group:
        stop = await group.spawn(signals.wait_for_stop, gateway.reload)
        await gateway.caller_server.start_on(settings.caller_listener)
        try:
            await _start(gateway, group)
            end = await wait_for_end(group, stop, gateway.log, signals)
        except Exception as error:
            end = end_after_failure(error, gateway.log, signals)
        await _drain(gateway, end.stop)
        await group.cancel_remaining()
    if end.failure is not None:
        raise end.failure


async def _start(gateway: Gateway, group: curio.TaskGroup) -> None:
    """Open the other ports, and start the tasks of an entry that accepts callers."""
    settings = gateway.settings
    start_listening(settings.ready_listener)
    await gateway.platform_server.start_on(settings.ready_listener)
    if settings.peer_listener is not None:
        start_listening(settings.peer_listener)
        await gateway.peer_port.server.start_on(settings.peer_listener)
    metrics = HttpServer(gateway.handle_platform)
    await serve_metrics(metrics, settings.host, settings.metrics_port, gateway.log)
    await group.spawn(gateway.relay_client.run_maintenance)
    await group.spawn(gateway.feeds.run)
    await group.spawn(gateway.feeds.send_quarantine_reports)
    await group.spawn(gateway.balancer.run_maintenance)
    await group.spawn(gateway.update_retry_share)
    await group.spawn(gateway.rollout_reporter.run)
    await group.spawn(gateway.quotas.run)
    await group.spawn(gateway.caller_outputs.run)
    # The entry does its work without the monitor, so its failure ends nothing.
    await curio.spawn(gateway.memory_monitor.run, daemon=True)
    await group.spawn(gateway.log.run, partial(gateway.hold_ups.record, "loop"))
    # The objects that exist now live as long as the process; freezing them keeps the
    # garbage collector from traversing them while requests are handled.
    gc.collect()
    gc.freeze()
    gateway.log.state(
        "started",
        role="entry",
        zone=settings.zone,
        port=settings.caller_listener.getsockname()[1],
        relay_port=settings.relay_port or "none",
        metrics_port=settings.metrics_port or "none",
    )


async def _drain(gateway: Gateway, stop: StopRequest) -> None:
    """Shut down: report unready, close the listener, wait for requests in flight.

    The signal may have come while the entry started, so less of the grace period may
    be left than the time for which connections are accepted.
    """
    gateway.is_stopping = True
    stop_at = add_ms(stop.received_at, gateway.settings.grace_ms - STOP_MARGIN_MS)
    close_at = add_ms(stop.received_at, STOP_NOTICE_MS)
    gateway.answer_by = add_ms(stop_at, -FINAL_RESPONSE_MS)
    callers, peers = gateway.caller_server, gateway.peer_port.server
    on_failed = failed_step_logger(gateway.log)

    async def run(name: str, step: Callable[..., Any], *args: Any) -> None:
        await run_step(name, on_failed, step, *args)

    await run("limit_deadlines", gateway.forwarder.limit_deadlines, gateway.answer_by)
    await run("announce_stop", callers.announce_stop)
    await run("announce_stop_to_peers", gateway.peer_port.announce_stop)
    await run("log_stop", gateway.log_stop, "stopping", stop)
    await curio.sleep(remaining_ms(close_at, system_clock()) / 1000)
    await run("stop_callers", callers.stop)
    await run("stop_peers", peers.stop)
    # What was accepted late, after a slow start, still gets its response.
    left_ms = max(remaining_ms(stop_at, system_clock()), FINAL_RESPONSE_MS)
    wait_until = add_ms(system_clock(), left_ms)
    await run("wait_for_callers", _wait_idle, callers, wait_until)
    await run("wait_for_peers", _wait_idle, peers, wait_until)
    # A wait that failed doesn't cut off what is in flight.
    while gateway.peer_port.n_in_flight and system_clock() < wait_until:
        await curio.sleep(IDLE_POLL_MS / 1000)
    await run("stop_monitor", gateway.monitor.stop)
    close_until = add_ms(system_clock(), CLOSE_WAIT_MS)
    await run("close_callers", _close_all, callers, close_until)
    await run("close_peers", _close_all, peers, close_until)
    await run("log_stop", gateway.log_stop, "stopped", stop)
    await run("flush_log", gateway.log.flush)


async def _wait_idle(server: HttpServer, until: Instant) -> None:
    async with curio.ignore_after(remaining_ms(until, system_clock()) / 1000):
        await server.wait_idle()


async def _close_all(server: HttpServer, until: Instant) -> None:
    async with curio.ignore_after(remaining_ms(until, system_clock()) / 1000):
        await server.close_all()
