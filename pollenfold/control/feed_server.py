"""Serves the feed of one control replica to entries and to the other replicas."""

from __future__ import annotations

from typing import Any

import curio
from curio import socket

from ..core.allowances import FleetSize
from ..core.clock import Clock, Instant, add_ms
from ..core.digests import differing
from ..core.registry import Announcement, Known
from ..observe.events import EventLog
from ..wire.lines import encode_line, read_lines
from .order_book import OrderBook, PeerView

PUBLISH_INTERVAL_MS = 20.0
KEEP_ALIVE_MS = 500.0
SPARSE_KEEP_ALIVE_MS = 1_000.0
"""The same for entries that take their news from another replica."""

HEARD_INTERVAL_MS = 3_000.0
SILENCE_LIMIT_MS = 5_000.0
STUCK_AFTER_MS = 2_000.0
"""A reader that takes nothing for so long is cut off; it connects anew."""

FORGET_AFTER_MS = 30_000.0
"""A silent endpoint is no longer told to entries that connect."""


class _Reader:
    """One connection that reads the feed."""

    def __init__(self, client: socket.socket, hello: dict[str, Any], now: Instant):
        self.client = client
        self.name = str(hello.get("name", ""))
        self.role = str(hello.get("role", ""))
        self.is_entry = self.role == "entry"
        self.takes_news = not self.is_entry or "news" not in hello
        """Whether it is told of endpoints and names, or only where the orders are.

        An entry of an earlier version doesn't ask; every replica tells it."""

        self._pending = bytearray()
        self._moved_at = now

    def add(self, data: bytes) -> None:
        """Queue lines."""
        self._pending += data

    def send(self, now: Instant) -> bool:
        """Write what the socket takes; return False for a dead or stuck reader."""
        try:
            while self._pending:
                n_bytes = self.client._socket.send(self._pending)
                del self._pending[:n_bytes]
                self._moved_at = now
        except (BlockingIOError, InterruptedError):
            return now < add_ms(self._moved_at, STUCK_AFTER_MS)
        except OSError:
            return False
        self._moved_at = now
        return True


class FeedServer:
    """Tells readers the index of the orders, the endpoints and the fleet.

    One task writes to all readers, so that a change costs one wake-up however many
    there are.
    """

    def __init__(
        self,
        zone: str,
        book: OrderBook,
        peers: PeerView,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._zone = zone
        self._book = book
        self._peers = peers
        self._clock = clock
        self._log = log
        self._readers: set[_Reader] = set()
        self._news: dict[str, Announcement] = {}
        self._is_changed = False
        self._told_at = clock()
        self._told_all_at = clock()
        self._heard_at = clock()
        self._told_entries: set[str] = set()
        self._told_control: list[str] = []
        self._told_n_peers = 0
        self.fleet = FleetSize()
        book.on_change = self._note_change
        book.on_news = self._note_news

    @property
    def n_readers(self) -> int:
        """The number of open connections."""
        return len(self._readers)

    def _note_change(self) -> None:
        self._is_changed = True

    def _note_news(self, announcement: Announcement) -> None:
        self._news[announcement.endpoint_id] = announcement

    async def serve(self, host: str, port: int) -> None:
        """Listen until cancelled."""
        await curio.tcp_server(host, port, self._serve_reader, reuse_address=True)

    async def _serve_reader(
        self, client: socket.socket, address: tuple[str, int]
    ) -> None:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader: _Reader | None = None
        detail = "closed"
        try:
            async for line in read_lines(client, lambda: SILENCE_LIMIT_MS):
                if reader is None:
                    reader = _Reader(client, line, self._clock())
                    self._greet(reader)
                elif "get" in line:
                    self._tell(reader, {"orders": self._orders_for(line)})
                elif "list" in line:
                    items = self._announcements(line.get("digests"))
                    self._tell(reader, {"announcements": items})
                elif "news" in line:
                    self._set_news(reader, bool(line["news"]))
        except OSError as error:
            detail = str(error) or type(error).__name__
            if reader is None:
                self._log.state("feed_rejected", peer=address[0], detail=detail)
        finally:
            if reader is not None:
                self._readers.discard(reader)
                self._log.state(
                    "reader_lost", reader=reader.name, peer=address[0], detail=detail
                )

    def _greet(self, reader: _Reader) -> None:
        """Tell a new reader where it is; it asks for orders and endpoints."""
        self._readers.add(reader)
        self._log.state("reader_connected", reader=reader.name, role=reader.role)
        line = {
            "zone": self._zone,
            "index": self._book.orders.index,
            "n_entries": self._n_entries(),
            "n_endpoints": len(self._heard_lately()),
            "n_peers": self._peers.n_connected,
            "control": sorted(self._peers.control_hosts),
        }
        self._tell(reader, line)

    def _orders_for(self, line: dict[str, Any]) -> dict[str, Any]:
        """Return the orders, without what the reader says that it holds."""
        orders = self._book.orders
        index, version = int(line.get("index", 0)), int(line.get("version", 0))
        return orders.encode_since(index, version) if index else orders.encode()

    def _set_news(self, reader: _Reader, takes_news: bool) -> None:
        """Begin or end to tell an entry of endpoints and of other entries."""
        if not reader.is_entry or reader.takes_news == takes_news:
            return
        reader.takes_news = takes_news
        if takes_news:
            # Changes are told relative to what all readers were told before.
            names = sorted(self._told_entries)
            self._tell(reader, {"entries": names, "complete_ms": self._complete_ms()})

    def _complete_ms(self) -> float:
        """Return how long this replica has heard all others, -1 while it doesn't."""
        since = self._peers.connected_since
        return -1.0 if since is None else round(self._clock() - since)

    def _tell(self, reader: _Reader, line: dict[str, Any]) -> None:
        reader.add(encode_line(line))
        self._flush(reader)

    def _heard_lately(self) -> list[Known]:
        oldest = add_ms(self._clock(), -FORGET_AFTER_MS)
        return [k for k in self._book.registry.all_known() if k.heard_at > oldest]

    def _announcements(self, digests: object) -> list[tuple[list[object], float]]:
        """Return the endpoints that were heard lately, with the age of their words.

        Those that the reader has by its digests are left out.
        """
        now = self._clock()
        known = {k.announcement.endpoint_id: k for k in self._heard_lately()}
        missing = differing((k.announcement for k in known.values()), digests)
        return [(a.encode(), now - known[a.endpoint_id].announced_at) for a in missing]

    def _entries(self) -> set[str]:
        return {r.name for r in self._readers if r.is_entry}

    def _n_entries(self) -> int:
        """Return the number of entries, and note it."""
        now = self._clock()
        self.fleet.report(len(self._entries()), now)
        return self.fleet.get(now)

    def _fleet_news(self) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return what changed of the fleet, for all readers and for those of news.

        Only the names that changed are told: with all of them in each line, a restart
        of all entries would cost the square of their number.
        """
        for_all: dict[str, Any] = {}
        names: dict[str, Any] = {}
        entries = self._entries()
        if entries != self._told_entries:
            for_all["n_entries"] = self._n_entries()
            names["joined"] = sorted(entries - self._told_entries)
            names["left"] = sorted(self._told_entries - entries)
            self._told_entries = entries
        control = sorted(self._peers.control_hosts)
        if control != self._told_control:
            for_all["control"] = control
            self._told_control = control
        n_peers = self._peers.n_connected
        if n_peers != self._told_n_peers:
            for_all["n_peers"] = n_peers
            self._told_n_peers = n_peers
        return for_all, names

    async def run(self) -> None:
        """Write changes and regular lines to all readers until cancelled."""
        while True:
            await curio.sleep(PUBLISH_INTERVAL_MS / 1000)
            now = self._clock()
            is_due = now >= add_ms(self._told_at, KEEP_ALIVE_MS)
            if is_due or self._is_changed or self._news:
                self._publish(now, is_due)

    def _publish(self, now: Instant, is_due: bool) -> None:
        """Write what is new to all readers, to each what it takes."""
        for_all: dict[str, Any] = {}
        names: dict[str, Any] = {}
        if is_due:
            for_all, names = self._fleet_news()
            self._told_at = now
        is_heard_due = now >= add_ms(self._heard_at, HEARD_INTERVAL_MS)
        if is_heard_due:
            # Readers forget the size of the fleet unless it is told again.
            for_all["n_entries"] = self._n_entries()
            self._heard_at = now
        is_all_due = now >= add_ms(self._told_all_at, SPARSE_KEEP_ALIVE_MS)
        is_told_to_all = self._is_changed or bool(for_all) or is_all_due
        if is_told_to_all:
            self._told_all_at = now
        for_all["index"] = self._book.orders.index
        news = {**for_all, **names, **self._take_announcements()}
        for_replicas, for_entries = news, news
        if is_heard_due:
            for_replicas, for_entries = self._with_heard(news)
        self._is_changed = False
        self._write(
            encode_line(for_replicas),
            encode_line(for_entries),
            encode_line(for_all) if is_told_to_all else b"",
        )

    def _take_announcements(self) -> dict[str, Any]:
        """Return the announcements that readers weren't told yet."""
        waiting = self._news.values()
        self._news = {}
        return {"announcements": [[a.encode(), 0] for a in waiting]} if waiting else {}

    def _with_heard(
        self, news: dict[str, Any]
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        """Return the news with the repeated announcements, by kind of reader."""
        book = self._book
        direct, relayed = book.heard_ids, book.relayed_heard_ids
        book.heard_ids, book.relayed_heard_ids = set(), set()
        for_replicas = {**news, "heard": sorted(direct)}
        heard = sorted(direct | relayed)
        complete_ms = self._complete_ms()
        return for_replicas, {**news, "heard": heard, "complete_ms": complete_ms}

    def _write(self, for_replicas: bytes, for_entries: bytes, for_all: bytes) -> None:
        """Write each reader the line of its kind, where there is one."""
        for reader in list(self._readers):
            if not reader.is_entry:
                reader.add(for_replicas)
            elif reader.takes_news:
                reader.add(for_entries)
            elif for_all:
                reader.add(for_all)
            else:
                continue
            self._flush(reader)

    def _flush(self, reader: _Reader) -> None:
        if not reader.send(self._clock()):
            self._readers.discard(reader)
            # Wakes the task that reads from the connection, which closes it.
            try:
                reader.client._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return
