"""A control replica that discovers its cluster from seeds and agrees on membership."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import curio

from ..core.agreement.members import host_and_port
from ..core.clock import add_ms, remaining_ms
from ..core.errors import ErrorKind
from ..core.registry import decode_announcement, versions_by_id, with_version
from ..core.rollouts.order_age import OrderAges
from ..core.tenancy.quota_limits import QuotaLimits
from ..gateway.feeds import FeedIdentity, Feeds
from ..http.listener import reserve_when_free, start_listening
from ..http.messages import Request, Response, error_response
from ..http.server import Handler, HttpServer
from ..observe.clock import system_clock, time_of_day_ms
from ..observe.daemon import (
    failed_step_logger,
    metrics_response,
    reload_settings,
    serve_metrics,
    wait_for_end,
)
from ..observe.events import EventLog
from ..observe.exposition import Metrics
from ..observe.logs import forward_logs
from ..observe.memory_monitor import MemoryMonitor
from ..observe.signals import Signals, StopRequest
from ..observe.steps import run_step
from ..storage.endpoint_cache import read_endpoint_cache, write_endpoint_cache
from ..storage.member import load_member_id
from ..wire.frames import Protocol
from ..wire.receive_buffers import receive_buffers
from ..wire.rpc import RpcServer
from .cluster_state import ClusterState
from .feed_server import FeedServer
from .group_membership import GroupMembership
from .peer_view import PeerView
from .quarantine_api import QUARANTINE_PATH, handle_quarantine
from .quota_server import DecodeQuotas, QuotaServer
from .replica import DynamicMembers, Replica
from .rollout_orders import RolloutOrders
from .rollouts import Rollouts, RolloutSettings

CACHE_INTERVAL_MS = 1_000.0
STOP_WAIT_MS = 3_500.0
"""How long a stop waits for orders, from its signal on.

Longer than an order that is still arriving may take, and the commit after it; the rest
of a grace period of 6 s is for signals that are noticed late."""

MIN_STOP_WAIT_MS = 200.0
LEAVE_WAIT_MS = 4_500.0
"""How long a stop waits until a learner has the replica's place, from its signal on.

It leaves ``PEER_STOP_WAIT_MS`` and a margin of a grace period of 6 s."""

PEER_STOP_WAIT_MS = 1_000.0
"""How long a stop waits for the requests of other replicas after those of operators. A
forwarded order takes 0.7 s at most."""

IDLE_POLL_MS = 5.0
MAX_REQUEST_BYTES = 16 << 20


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """Addresses of one control replica and how it finds the others.

    ``seeds`` returns hosts where control replicas may run. ``reload`` rereads the
    settings and raises ValueError when they are invalid. ``n_members`` is the number
    of voters that the configured fault tolerance requires. ``decode_quotas`` decodes
    the quotas of a configuration; without it no permits are granted.
    """

    name: str
    zone: str
    host: str
    peer_port: int
    feed_port: int
    api_host: str
    api_port: int
    metrics_port: int | None
    data_folder: Path
    seeds: Callable[[], list[str]]
    reload: Callable[[], None]
    is_founder: bool
    n_members: int
    rollouts: RolloutSettings = RolloutSettings()
    decode_quotas: DecodeQuotas | None = None
    quota_limits: QuotaLimits = QuotaLimits()


class ClusterNode:
    """One control replica: connects its components and joins its cluster."""

    def __init__(self, settings: ClusterSettings) -> None:
        """Open the data folder; raise OSError when that fails."""
        self.settings = settings
        clock = system_clock
        self.log = EventLog(settings.name, clock)
        forward_logs(self.log)
        self.metrics = Metrics()
        self.cluster_state = ClusterState(settings.n_members, clock, self.log)
        address = f"{settings.host}:{settings.peer_port}"
        settings.data_folder.mkdir(parents=True, exist_ok=True)
        self.replica_id = load_member_id(settings.data_folder, address)
        members = DynamicMembers(host_and_port, settings.n_members, settings.is_founder)
        self.replica = Replica(
            self.replica_id,
            {self.replica_id: (settings.host, settings.peer_port)},
            settings.data_folder,
            self.cluster_state.apply,
            self.cluster_state.snapshot,
            self.cluster_state.restore,
            clock,
            secrets.randbits(32),
            members=members,
        )
        self.cluster_state.commands.replica = self.replica
        self.peers = PeerView(self.cluster_state)
        self.feed_server = FeedServer(
            settings.zone, self.cluster_state, self.peers, clock, self.log
        )
        self.feed_server.is_leading = self.replica.is_leader
        self._add_rollouts()
        self.quota_server = QuotaServer(
            settings.quota_limits,
            settings.decode_quotas,
            self.cluster_state,
            self.feed_server,
            self.replica.acts_alone_from,
            clock,
            self.log,
            self.metrics,
        )
        identity = FeedIdentity(settings.name, settings.zone, "control")
        self.feeds = Feeds(
            identity,
            self.peers,
            settings.seeds,
            settings.feed_port,
            clock,
            self.log,
            settings.host,
        )
        self.membership = GroupMembership(
            self.replica,
            self.replica_id,
            settings.seeds,
            lambda: self.peers.control_hosts,
            clock,
            self.log,
        )
        self.rpc = RpcServer(
            {
                Protocol.AGREEMENT: self.replica.handle,
                Protocol.MEMBERSHIP: self.membership.handle,
                Protocol.OPERATOR: self.cluster_state.commands.handle_forwarded,
                Protocol.ORDER: self.cluster_state.orders.handle_forwarded,
            }
        )

    def _add_rollouts(self) -> None:
        ages = OrderAges()
        self.rollout_orders = RolloutOrders(
            self.cluster_state, ages, system_clock, time_of_day_ms, self.log
        )
        self.rollouts = Rollouts(
            self.settings.rollouts,
            self.cluster_state,
            self.feed_server,
            ages,
            system_clock,
            time_of_day_ms,
            self.metrics,
            self.log,
        )

    # Endpoints after a restart

    def load_endpoints(self) -> None:
        """Load the endpoints and the fleet size that were cached before the restart."""
        items, n_entries, versions = read_endpoint_cache(self.settings.data_folder)
        malformed = self.cluster_state.malformed
        for announcement in malformed.decode_each(
            "cache",
            items,
            lambda item: with_version(decode_announcement(item), versions),
        ):
            self.cluster_state.merge_announcement(announcement)
        self.feed_server.fleet.report(n_entries, system_clock())

    async def persist_endpoints(self) -> None:
        """Write the endpoint cache when the endpoints change, at most once a second."""
        written: tuple[object, ...] = ()
        while True:
            await curio.sleep(CACHE_INTERVAL_MS / 1000)
            announcements = sorted(
                self.cluster_state.registry.announcements(), key=lambda a: a.endpoint_id
            )
            n_entries = self.feed_server.fleet.get(system_clock())
            current = (
                n_entries,
                *((a.endpoint_id, a.born_ms, a.version) for a in announcements),
            )
            if current == written or not announcements:
                continue
            try:
                encoded = [a.encode() for a in announcements]
                write_endpoint_cache(
                    self.settings.data_folder,
                    encoded,
                    n_entries,
                    versions_by_id(announcements),
                )
            except OSError as error:
                self.log.state("cache_failed", detail=str(error))
            written = current

    # Metrics

    async def handle_metrics(self, request: Request) -> Response:
        """Respond with the metrics of this replica, or with quarantined requests."""
        if request.path.startswith(QUARANTINE_PATH):
            return handle_quarantine(self.cluster_state, request)
        if request.path != "/metrics":
            return error_response(ErrorKind.NOT_FOUND)
        status = self.replica.status()
        metrics = self.metrics
        metrics.set("is_leader", float(bool(status.get("is_leader"))))
        metrics.set("storage_failed", float(bool(status["is_storage_failed"])))
        metrics.set("has_leader", float(bool(status.get("has_leader"))))
        metrics.set("is_leaving", float(self.membership.is_leaving))
        metrics.set("term", status.get("term", 0))
        metrics.set("commit_index", status.get("commit_index", 0))
        metrics.set("applied_index", self.replica.applied_index())
        metrics.set("voters", len(self.replica.voters()))
        metrics.set(
            "configuration_version", self.cluster_state.replicated_state.version
        )
        metrics.set("readers", self.feed_server.n_subscribers)
        metrics.set("confirmation_rounds", self.feed_server.n_confirmation_rounds)
        metrics.set("endpoints", len(self.cluster_state.registry))
        quarantined = self.cluster_state.quarantine.quarantined_digests()
        metrics.set("requests_quarantined", len(quarantined))
        self.cluster_state.malformed.export(metrics)
        return metrics_response(metrics, self.log)

    def reload(self) -> None:
        """Reread the settings."""
        settings = self.settings
        reload_settings(settings.reload, settings.seeds, self.log)


async def serve_cluster(
    settings: ClusterSettings,
    make_handler: Callable[[ClusterNode], Handler],
    signals: Signals,
) -> None:
    """Run a control replica until SIGTERM or SIGINT.

    ``make_handler`` returns the HTTP handler for operators and endpoints. Raise OSError
    when an address is in use or the data folder can't be opened, and RuntimeError when
    a task of the daemon ends.
    """
    # Reserved before the data folder is opened, which another process may still use.
    peers, feeds, operators = (
        reserve_when_free(*address, signals.check_not_stopped)
        for address in (
            (settings.host, settings.peer_port),
            (settings.host, settings.feed_port),
            (settings.api_host, settings.api_port),
        )
    )
    node = ClusterNode(settings)
    node.load_endpoints()
    signals.check_not_stopped()
    api = HttpServer(make_handler(node), MAX_REQUEST_BYTES)
    metrics = HttpServer(node.handle_metrics)
    async with curio.TaskGroup(wait=None) as group:
        stop = await group.spawn(signals.wait_for_stop, node.reload)
        for listener in (peers, feeds, operators):
            start_listening(listener)
        await api.start_on(operators)
        await group.spawn(node.rpc.serve_on, peers)
        await group.spawn(node.feed_server.serve_on, feeds)
        await serve_metrics(metrics, settings.host, settings.metrics_port, node.log)
        await group.spawn(node.replica.run)
        await group.spawn(node.feed_server.run)
        await group.spawn(node.feed_server.run_confirmations)
        await group.spawn(node.quota_server.run)
        await group.spawn(node.feeds.run)
        await group.spawn(node.membership.run)
        await group.spawn(node.persist_endpoints)
        await group.spawn(node.rollouts.run)
        # The replica does its work without the monitor, so its failure ends nothing.
        monitor = MemoryMonitor(receive_buffers, node.metrics, node.log)
        await curio.spawn(monitor.run, daemon=True)
        await group.spawn(node.log.run)
        node.log.state(
            "started",
            role="control",
            zone=settings.zone,
            replica=node.replica_id,
            founder=settings.is_founder,
            metrics_port=settings.metrics_port or "none",
        )
        end = await wait_for_end(group, stop, node.log, signals)
        await _stop(node, api, end.stop)
        await group.cancel_remaining()
    if end.failure is not None:
        raise end.failure


async def _stop(node: ClusterNode, api: HttpServer, stop: StopRequest) -> None:
    """Answer the orders in flight; the other tasks still run, which they need."""
    on_failed = failed_step_logger(node.log)

    def log(event: str) -> None:
        node.log.state(event, signal=stop.signal_name, n_in_flight=api.n_in_flight)

    async def wait_idle() -> None:
        wait_until = add_ms(stop.received_at, STOP_WAIT_MS)
        left_ms = max(remaining_ms(wait_until, system_clock()), MIN_STOP_WAIT_MS)
        async with curio.ignore_after(left_ms / 1000):
            await api.wait_idle()

    async def wait_for_requests() -> None:
        """Wait for what is in flight, if the wait before failed."""
        wait_until = add_ms(stop.received_at, STOP_WAIT_MS)
        while api.n_in_flight and system_clock() < wait_until:
            await curio.sleep(IDLE_POLL_MS / 1000)

    await run_step("log_stop", on_failed, log, "stopping")
    await run_step("stop_operators", on_failed, api.stop)
    await run_step("wait_for_operators", on_failed, wait_idle)
    await run_step("wait_for_requests", on_failed, wait_for_requests)
    # Only now, since orders in flight need the leader that this replica may be. Until
    # its place is taken it votes and stores entries.
    leave_until = add_ms(stop.received_at, LEAVE_WAIT_MS)
    await run_step("leave_group", on_failed, node.membership.leave, leave_until)
    # Orders that other replicas forwarded need this one as the operators' do.
    await run_step("stop_peers", on_failed, node.rpc.stop, PEER_STOP_WAIT_MS)
    await run_step("log_stop", on_failed, log, "stopped")
    await run_step("flush_log", on_failed, node.log.flush)
