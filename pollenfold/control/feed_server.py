"""Serves the feed of one control replica to entries and other control replicas."""

from __future__ import annotations

import socket as sockets
from collections.abc import Callable
from typing import Any

import curio

from ..core.allowances import FleetSize
from ..core.clock import Clock, Instant, add_ms
from ..core.digests import differing_announcements
from ..core.input_limits import is_name
from ..core.registry import Announcement, EndpointRecord, announcements_line
from ..http.listener import open_listener
from ..http.listening_socket import ListeningSocket
from ..observe.events import EventLog
from ..wire.lines import BadLineError, LineBudget, encode_line, read_lines
from ..wire.sockets import Socket
from .cluster_state import ClusterState
from .confirmer import Confirmer
from .entry_hosts import EntryHosts
from .peer_view import PeerView
from .state_responses import StateResponses
from .subscriber import Subscriber

PUBLISH_INTERVAL_MS = 20.0
KEEP_ALIVE_MS = 500.0
SPARSE_KEEP_ALIVE_MS = 1_000.0
"""Keep-alive interval for entries that use another replica as update source."""

REFRESH_INTERVAL_MS = 3_000.0
IDLE_TIMEOUT_MS = 5_000.0

MAX_REQUEST_BYTES = 1 << 20
"""The largest line of a subscriber. Reports on 1,200 endpoints take a fifth of it."""

REQUEST_BUDGET_BYTES = 16 << 20
"""Memory for the unfinished lines of all subscribers, of which there are hundreds."""

ANNOUNCEMENT_MAX_AGE_MS = 30_000.0
"""Endpoints without an announcement for this long are left out of the lists sent."""

OnPart = Callable[[Subscriber, Any], None]
"""Called with a subscriber and the value of a part of its line; it checks the value."""


class FeedServer:
    """Sends subscribers the log index, the endpoints and the fleet.

    One task writes to all subscribers, so that a change costs one wake-up regardless
    of their number.
    """

    def __init__(
        self,
        zone: str,
        cluster_state: ClusterState,
        peers: PeerView,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._zone = zone
        self._cluster_state = cluster_state
        self._peers = peers
        self._clock = clock
        self._log = log
        self._subscribers: set[Subscriber] = set()
        self._pending_updates: dict[str, Announcement] = {}
        self._changed_limits: set[str] = set()
        self._changed_digests: set[str] = set()
        self._is_changed = False
        self._published_at = clock()
        self._published_to_all_at = clock()
        self._refreshed_at = clock()
        self._published_entries: set[str] = set()
        self._published_control: list[str] = []
        self._published_n_peers = 0
        self._entry_hosts = EntryHosts()
        self._responses = StateResponses()
        self.fleet = FleetSize()
        self.line_budget = LineBudget(REQUEST_BUDGET_BYTES)
        self._confirmer = Confirmer(cluster_state, log)
        self.is_leading: Callable[[], bool] = lambda: False
        self._published_leads = False
        self._on_part: dict[str, OnPart] = {}
        cluster_state.on_change = self._mark_changed
        cluster_state.on_update = self._queue_update
        cluster_state.on_limit_report = self._queue_limit_report
        cluster_state.on_quarantine_report = self._changed_digests.add

    def add_part(self, name: str, on_part: OnPart) -> None:
        """Call a function with each value that subscribers send under a name."""
        self._on_part[name] = on_part

    @property
    def n_subscribers(self) -> int:
        """The number of open connections."""
        return len(self._subscribers)

    @property
    def n_confirmation_rounds(self) -> int:
        """How often this replica asked a majority for a confirmation."""
        return self._confirmer.n_rounds

    def _mark_changed(self) -> None:
        self._is_changed = True
        self._responses.record(self._cluster_state.replicated_state)

    def _queue_update(self, announcement: Announcement) -> None:
        self._pending_updates[announcement.endpoint_id] = announcement

    def _queue_limit_report(self, endpoint_id: str) -> None:
        self._changed_limits.add(endpoint_id)

    async def serve(self, host: str, port: int) -> None:
        """Listen until cancelled."""
        await self.serve_on(open_listener(host, port))

    async def serve_on(self, listener: sockets.socket) -> None:
        """Serve a socket that is already listening, until cancelled."""
        await curio.network.run_server(
            ListeningSocket(listener), self._serve_subscriber
        )

    async def _serve_subscriber(self, client: Socket, address: tuple[str, int]) -> None:
        client.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        subscriber: Subscriber | None = None
        detail = "closed"
        try:
            lines = read_lines(
                client,
                lambda: IDLE_TIMEOUT_MS,
                max_line_bytes=MAX_REQUEST_BYTES,
                budget=self.line_budget,
            )
            async for line in lines:
                if subscriber is None:
                    if not is_name(line.get("name")):
                        raise BadLineError("expected the name of a subscriber")
                    subscriber = Subscriber(client, line, address[0], self._clock())
                    self._register(subscriber)
                elif "get" in line:
                    self.send(subscriber, {"orders": self._state_for(line)})
                elif "list" in line:
                    self.send(subscriber, self._list_line(line.get("digests")))
                elif "limits" in line:
                    self._cluster_state.merge_limit_reports(line["limits"])
                elif "quarantine" in line:
                    self._cluster_state.merge_quarantine_reports(line["quarantine"])
                elif "confirm" in line:
                    await self._request_confirmation(subscriber, line["confirm"])
                elif "news" in line:
                    self._set_wants_updates(subscriber, bool(line["news"]))
                for name in self._on_part.keys() & line.keys():
                    self._on_part[name](subscriber, line[name])
        except OSError as error:
            detail = str(error) or type(error).__name__
            if subscriber is None:
                self._log.state("feed_rejected", peer=address[0], detail=detail)
        finally:
            if subscriber is not None:
                self._subscribers.discard(subscriber)
                self._log.state(
                    "reader_lost",
                    reader=subscriber.name,
                    peer=address[0],
                    detail=detail,
                )

    def _register(self, subscriber: Subscriber) -> None:
        """Add a subscriber and send the current index and sizes.

        The subscriber requests the replicated state and the endpoints itself.
        """
        self._subscribers.add(subscriber)
        self._log.state(
            "reader_connected", reader=subscriber.name, role=subscriber.role
        )
        line = {
            "zone": self._zone,
            "index": self._cluster_state.replicated_state.index,
            "n_entries": self._n_entries(),
            "n_endpoints": len(self._live_endpoints()),
            "n_peers": self._peers.n_connected,
            "control": sorted(self._peers.control_hosts),
        }
        if self._published_leads:
            line["leads"] = 1
        self.send(subscriber, line)
        if subscriber.wants_updates:
            self._send_quarantine(subscriber)

    def _state_for(self, line: dict[str, Any]) -> dict[str, Any]:
        """Return the replicated state without the parts the subscriber already has."""
        return self._responses.encode(self._cluster_state.replicated_state, line)

    async def _request_confirmation(
        self, subscriber: Subscriber, request_id: object
    ) -> None:
        if type(request_id) is not int:
            self._log.state("malformed_report", reader=subscriber.name, detail="id")
            return

        def respond(request_id: int, index: int) -> None:
            if subscriber in self._subscribers:
                self.send(subscriber, {"confirmed": [request_id, index]})

        await self._confirmer.request(subscriber.name, request_id, respond)

    def _set_wants_updates(self, subscriber: Subscriber, wants_updates: bool) -> None:
        """Start or stop sending an entry updates on endpoints and other entries."""
        if not subscriber.is_entry or subscriber.wants_updates == wants_updates:
            return
        subscriber.wants_updates = wants_updates
        subscriber.n_hosts_change = 0
        if wants_updates:
            # Later changes are relative to what was last sent to all subscribers.
            line: dict[str, Any] = {
                "entries": sorted(self._published_entries),
                "complete_ms": self._complete_ms(),
            }
            reports = self._cluster_state.limit_reports()
            if reports:
                line["limits"] = [report.encode() for report in reports]
            self.send(subscriber, line)
            self._send_quarantine(subscriber)

    def _send_quarantine(self, subscriber: Subscriber) -> None:
        """Send what is known of requests that ended more than one server."""
        reports = self._cluster_state.quarantine.repeated_reports(self._clock())
        if reports:
            self.send(subscriber, {"quarantine": reports})

    def _complete_ms(self) -> float:
        """Return how long this replica has been connected to all others, else -1."""
        since = self._peers.connected_since
        return -1.0 if since is None else round(self._clock() - since)

    def send(self, subscriber: Subscriber, line: dict[str, Any]) -> None:
        """Send a line to one subscriber."""
        subscriber.enqueue(encode_line(line))
        self._flush(subscriber)

    def _live_endpoints(self) -> list[EndpointRecord]:
        oldest = add_ms(self._clock(), -ANNOUNCEMENT_MAX_AGE_MS)
        return [
            k for k in self._cluster_state.registry.records() if k.received_at > oldest
        ]

    def _list_line(self, digests: object) -> dict[str, Any]:
        """Return a line with the live endpoints and the age of their announcements.

        Those whose bucket digests show that the subscriber has them are left out.
        """
        now = self._clock()
        known = {k.announcement.endpoint_id: k for k in self._live_endpoints()}
        missing = differing_announcements(
            (k.announcement for k in known.values()), digests
        )
        aged = [(a, now - known[a.endpoint_id].announced_at) for a in missing]
        return announcements_line(aged)

    def entry_names(self) -> set[str]:
        """Return the names of the entries that are connected."""
        return {r.name for r in self._subscribers if r.is_entry}

    def _update_entry_hosts(self) -> None:
        """Record host and zone of the entries that take requests from others.

        Of several connections of one entry the newest one counts.
        """
        peers = [r for r in self._subscribers if r.is_entry and r.is_peer]
        peers.sort(key=lambda r: r.connected_at)
        self._entry_hosts.update({r.name: (r.host, r.zone) for r in peers})

    def _enqueue_entry_hosts(self, subscriber: Subscriber) -> None:
        """Enqueue the next changes of entry hosts that an entry hasn't received."""
        zones, number = self._entry_hosts.changes_since(subscriber.n_hosts_change)
        subscriber.n_hosts_change = number
        if zones:
            subscriber.enqueue(encode_line({"peers": zones}))

    def _n_entries(self) -> int:
        """Record the current number of entries; return the fleet size."""
        now = self._clock()
        self.fleet.report(len(self.entry_names()), now)
        return self.fleet.get(now)

    def _fleet_changes(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return changes of the fleet: for all subscribers, and for those with updates.

        Only changed names are sent: with all names in each line, a restart of all
        entries would cost traffic quadratic in their number.
        """
        for_all: dict[str, Any] = {}
        names: dict[str, Any] = {}
        entries = self.entry_names()
        if entries != self._published_entries:
            for_all["n_entries"] = self._n_entries()
            names["joined"] = sorted(entries - self._published_entries)
            names["left"] = sorted(self._published_entries - entries)
            self._published_entries = entries
        control = sorted(self._peers.control_hosts)
        if control != self._published_control:
            for_all["control"] = control
            self._published_control = control
        n_peers = self._peers.n_connected
        if n_peers != self._published_n_peers:
            for_all["n_peers"] = n_peers
            self._published_n_peers = n_peers
        return for_all, names

    async def run(self) -> None:
        """Send changes and keep-alives to all subscribers until cancelled."""
        while True:
            await curio.sleep(PUBLISH_INTERVAL_MS / 1000)
            self._publish_if_due()
            self._send_pending()

    async def run_confirmations(self) -> None:
        """Answer the subscribers' requests for confirmations until cancelled."""
        await self._confirmer.run()

    def _publish_if_due(self) -> None:
        now = self._clock()
        is_keep_alive_due = now >= add_ms(self._published_at, KEEP_ALIVE_MS)
        has_updates = bool(
            self._pending_updates or self._changed_limits or self._changed_digests
        )
        leads = self.is_leading()
        if is_keep_alive_due or self._is_changed or has_updates:
            self._publish(now, is_keep_alive_due)
        if leads != self._published_leads:
            self._published_leads = leads
            self._send_to_entries({"leads": int(leads)})

    def _send_to_entries(self, line: dict[str, Any]) -> None:
        """Send a line to all entries."""
        encoded = encode_line(line)
        for subscriber in list(self._subscribers):
            if subscriber.is_entry:
                subscriber.enqueue(encoded)
                self._flush(subscriber)

    def _send_pending(self) -> None:
        """Send what the connections didn't accept when it was queued."""
        for subscriber in list(self._subscribers):
            if subscriber.has_pending:
                self._flush(subscriber)

    def _publish(self, now: Instant, is_keep_alive_due: bool) -> None:
        """Send all subscribers the pending changes, filtered by subscriber kind."""
        for_all: dict[str, Any] = {}
        names: dict[str, Any] = {}
        if is_keep_alive_due:
            for_all, names = self._fleet_changes()
            self._update_entry_hosts()
            self._published_at = now
        is_refresh_due = now >= add_ms(self._refreshed_at, REFRESH_INTERVAL_MS)
        if is_refresh_due:
            # Subscribers drop the fleet size unless it is repeated.
            for_all["n_entries"] = self._n_entries()
            self._refreshed_at = now
        is_all_due = now >= add_ms(self._published_to_all_at, SPARSE_KEEP_ALIVE_MS)
        is_sent_to_all = self._is_changed or bool(for_all) or is_all_due
        if is_sent_to_all:
            self._published_to_all_at = now
        for_all["index"] = self._cluster_state.replicated_state.index
        updates = {**for_all, **names, **self._pop_updates()}
        for_replicas, for_entries = updates, updates
        if is_refresh_due:
            for_replicas, for_entries = self._with_repeated(updates)
        self._is_changed = False
        self._write(
            encode_line(for_replicas),
            encode_line(for_entries),
            encode_line(for_all) if is_sent_to_all else b"",
            is_keep_alive_due,
        )

    def _pop_updates(self) -> dict[str, Any]:
        """Remove and return the announcements and reports not published yet."""
        line: dict[str, Any] = {}
        updates = self._pending_updates.values()
        if updates:
            line.update(announcements_line([(a, 0) for a in updates]))
            self._pending_updates = {}
        if self._changed_limits:
            line["limits"] = [
                report.encode()
                for report in self._cluster_state.limit_reports()
                if report.endpoint_id in self._changed_limits
            ]
            self._changed_limits.clear()
        if self._changed_digests:
            quarantine, now = self._cluster_state.quarantine, self._clock()
            line["quarantine"] = [
                quarantine.report(digest, now)
                for digest in self._changed_digests
                if digest in quarantine
            ]
            self._changed_digests.clear()
        return line

    def _with_repeated(
        self, updates: dict[str, Any]
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        """Add repeated endpoint ids; return the lines for replicas and for entries."""
        cluster_state = self._cluster_state
        direct, relayed = cluster_state.announced_ids, cluster_state.relayed_ids
        cluster_state.announced_ids, cluster_state.relayed_ids = set(), set()
        for_replicas = {**updates, "heard": sorted(direct)}
        repeated = sorted(direct | relayed)
        complete_ms = self._complete_ms()
        return for_replicas, {**updates, "heard": repeated, "complete_ms": complete_ms}

    def _write(
        self,
        for_replicas: bytes,
        for_entries: bytes,
        for_all: bytes,
        includes_hosts: bool,
    ) -> None:
        """Send each subscriber the line of its kind, if there is one."""
        for subscriber in list(self._subscribers):
            if not subscriber.is_entry:
                subscriber.enqueue(for_replicas)
            elif subscriber.wants_updates:
                subscriber.enqueue(for_entries)
                if includes_hosts:
                    self._enqueue_entry_hosts(subscriber)
            elif for_all:
                subscriber.enqueue(for_all)
            else:
                continue
            self._flush(subscriber)

    def _flush(self, subscriber: Subscriber) -> None:
        if not subscriber.send(self._clock()):
            self._subscribers.discard(subscriber)
            # Wakes the task that reads from this connection, which then closes it.
            try:
                subscriber.client.shutdown_nowait(sockets.SHUT_RDWR)
            except OSError:
                return
