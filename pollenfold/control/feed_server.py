"""Serves the feed of one control replica to entries and to the other replicas."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio
from curio import socket

from ..core.allowances import FleetSize
from ..core.clock import Clock, Instant, add_ms
from ..core.registry import Announcement
from ..observe.events import EventLog
from ..wire.lines import encode_line, read_lines
from .order_book import OrderBook

PUBLISH_INTERVAL_MS = 20.0
KEEP_ALIVE_MS = 500.0
HEARD_INTERVAL_MS = 3_000.0
SILENCE_LIMIT_MS = 3_000.0
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
        self.zone = str(hello.get("zone", ""))
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
        control_hosts: Callable[[], frozenset[str]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._zone = zone
        self._book = book
        self._control_hosts = control_hosts
        self._clock = clock
        self._log = log
        self._readers: set[_Reader] = set()
        self._news: dict[str, Announcement] = {}
        self._relayed: dict[str, Announcement] = {}
        self._is_changed = False
        self._told_at = clock()
        self._heard_at = clock()
        self._told_entries: set[str] = set()
        self._told_control: list[str] = []
        self.fleet = FleetSize()
        book.on_change = self._note_change
        book.on_news = self._note_news

    @property
    def n_readers(self) -> int:
        """The number of open connections."""
        return len(self._readers)

    def _note_change(self) -> None:
        self._is_changed = True

    def _note_news(self, announcement: Announcement, is_direct: bool) -> None:
        news = self._news if is_direct else self._relayed
        news[announcement.endpoint_id] = announcement

    def _takes_relayed(self, reader: _Reader) -> bool:
        """Return whether a reader is told what other replicas were told.

        Each replica tells all readers what endpoints told it. A second path, through
        the replicas of the own zone, is enough for an entry; more would cost bytes
        between zones that grow with entries times replicas.
        """
        return reader.zone == self._zone or reader.role != "entry"

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
            async for line in read_lines(client, SILENCE_LIMIT_MS):
                if reader is None:
                    reader = _Reader(client, line, self._clock())
                    self._greet(reader)
                elif "get" in line:
                    self._tell(reader, {"orders": self._book.orders.encode()})
                elif "list" in line:
                    self._tell(reader, {"announcements": self._announcements()})
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
            # Changes are told relative to what all readers were told before.
            "entries": sorted(self._told_entries),
            "control": sorted(self._control_hosts()),
        }
        self._tell(reader, line)

    def _tell(self, reader: _Reader, line: dict[str, Any]) -> None:
        reader.add(encode_line(line))
        self._flush(reader)

    def _announcements(self) -> list[tuple[list[object], float]]:
        """Return the endpoints that were heard lately, with the age of their words."""
        now = self._clock()
        oldest = add_ms(now, -FORGET_AFTER_MS)
        registry = self._book.registry
        known = [registry.known(a.endpoint_id) for a in registry.announcements()]
        return [
            (k.announcement.encode(), now - k.announced_at)
            for k in known
            if k is not None and k.heard_at > oldest
        ]

    def _entries(self) -> set[str]:
        return {r.name for r in self._readers if r.role == "entry"}

    def _n_entries(self) -> int:
        """Return the number of entries, and note it."""
        now = self._clock()
        self.fleet.report(len(self._entries()), now)
        return self.fleet.get(now)

    def _fleet_news(self) -> dict[str, Any]:
        """Return what changed of the fleet since it was last told.

        Only the names that changed are told: with all of them in each line, a restart
        of all entries would cost the square of their number.
        """
        line: dict[str, Any] = {}
        entries = self._entries()
        if entries != self._told_entries:
            line["n_entries"] = self._n_entries()
            line["joined"] = sorted(entries - self._told_entries)
            line["left"] = sorted(self._told_entries - entries)
            self._told_entries = entries
        control = sorted(self._control_hosts())
        if control != self._told_control:
            line["control"] = control
            self._told_control = control
        return line

    async def run(self) -> None:
        """Write changes and regular lines to all readers until cancelled."""
        while True:
            await curio.sleep(PUBLISH_INTERVAL_MS / 1000)
            now = self._clock()
            is_due = now >= add_ms(self._told_at, KEEP_ALIVE_MS)
            if not (is_due or self._is_changed or self._news or self._relayed):
                continue
            line: dict[str, Any] = {"index": self._book.orders.index}
            if is_due:
                line |= self._fleet_news()
                self._told_at = now
            if now >= add_ms(self._heard_at, HEARD_INTERVAL_MS):
                # Readers forget the size of the fleet unless it is told again.
                line["n_entries"] = self._n_entries()
                line["heard"] = sorted(self._book.heard_ids)
                self._book.heard_ids.clear()
                self._heard_at = now
            self._publish(line)

    def _publish(self, line: dict[str, Any]) -> None:
        """Write a line, with the news, to all readers."""
        if self._news:
            line["announcements"] = [[a.encode(), 0] for a in self._news.values()]
        data = encode_line(line)
        relayed = b""
        if self._relayed:
            items = [[a.encode(), 0] for a in self._relayed.values()]
            relayed = encode_line({"announcements": items})
        self._news = {}
        self._relayed = {}
        self._is_changed = False
        for reader in list(self._readers):
            reader.add(data)
            if relayed and self._takes_relayed(reader):
                reader.add(relayed)
            self._flush(reader)

    def _flush(self, reader: _Reader) -> None:
        if not reader.send(self._clock()):
            self._readers.discard(reader)
            # Wakes the task that reads from the connection, which closes it.
            try:
                reader.client._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return
