"""The feeds of the control replicas, as an entry reads them.

An entry holds one connection to each control replica. Each tells the index of its
orders at once when it changes and regularly besides; the entry asks for the orders
themselves only where it lacks them, from its own zone first. One replica, the source,
also tells the news of endpoints and entries (``core/news_source.py``).
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import curio

from ..core.clock import Clock, add_ms, remaining_ms
from ..core.news_source import Source, choose_source
from ..observe.events import EventLog
from ..wire.connections import open_connection
from ..wire.lines import read_lines
from .feed import Feed
from .view import FleetView

CONNECT_TIMEOUTS_MS = (60.0, 120.0, 250.0)
"""For the first attempts and all later ones. A VM without power doesn't answer, and
what was sent to it is sent again only after a second; a new attempt finds sooner that
it is back."""

CHECK_INTERVAL_MS = 250.0
SETTLED_CHECK_INTERVAL_MS = 1_000.0
"""How often a process looks for replicas to connect to: often while it lacks some."""

SILENCE_LIMIT_MS = 1_500.0
"""Three missed lines; then the connection is opened anew, since it may be dead
without a reset."""

SPARSE_SILENCE_LIMIT_MS = 3_000.0
"""The same for a replica that isn't the source; it tells less often."""

RETRY_PAUSE_MS = 300.0
FIRST_RETRY_PAUSE_MS = 50.0
"""The pause while no feed is open, when this entry may know nothing yet."""

FEED_ERRORS = (ValueError, KeyError, TypeError, IndexError, OverflowError)
"""What a line with other fields than expected may raise; it ends the feed, which is
then opened anew."""

LIST_INTERVAL_MS = 10_000.0
"""How often a replica of the own zone is asked for the list of all endpoints."""

PING_INTERVAL_MS = 2_000.0
FIRST_LIST_WAIT_MS = 300.0
"""How long a replica that isn't the source waits to be asked for its list first."""

LIST_PAUSE_MS = 1_000.0
"""The pause between two requests for the list of all endpoints.

Each replica knows nearly all of them, and the lists of all replicas at once would keep
a slow link and a small core busy for the time in which an entry starts to serve."""

OTHER_ZONE_WAIT_MS = 120.0
"""How long another zone's replica waits to be asked for orders that a replica of the
own zone may deliver."""


@dataclass(frozen=True, slots=True)
class FeedIdentity:
    """What a reader says of itself; ``role`` is ``entry`` or ``control``."""

    name: str
    zone: str
    role: str = "entry"


class Feeds:
    """Keeps one feed for each control replica.

    ``seeds`` returns the hosts to try besides those that the feeds name; it may
    change while the process runs. ``port`` is the same on all VMs.
    """

    def __init__(
        self,
        identity: FeedIdentity,
        view: FleetView,
        seeds: Callable[[], list[str]],
        port: int,
        clock: Clock,
        log: EventLog,
        own_host: str = "",
    ) -> None:
        self._identity = identity
        self._view = view
        self._seeds = seeds
        self._port = port
        self._clock = clock
        self._log = log
        self._own_host = own_host
        self._tasks: dict[str, curio.Task] = {}
        self._connected: dict[str, Feed] = {}
        self._source: str | None = None
        self._source_since = clock()
        self._next_list_at = clock()
        self._n_promised = 0
        """How many endpoints a replica knew whose list is on its way or came."""

    @property
    def n_connected(self) -> int:
        """The number of control replicas whose feed is open."""
        return len(self._connected)

    async def run(self) -> None:
        """Keep the feeds open until cancelled."""
        while True:
            wanted = set(self._seeds()) | set(self._view.control_hosts)
            wanted.discard(self._own_host)
            for host in wanted - set(self._tasks):
                self._tasks[host] = await curio.spawn(self._follow, host, daemon=True)
            for host in set(self._tasks) - wanted:
                if host not in self._connected:
                    await self._tasks.pop(host).cancel()
            await self._choose_source()
            self._note_completeness()
            self._view.n_connected = len(self._connected)
            self._view.expire()
            is_settled = wanted <= set(self._connected)
            pause_ms = SETTLED_CHECK_INTERVAL_MS if is_settled else CHECK_INTERVAL_MS
            await curio.sleep(pause_ms / 1000)

    async def _choose_source(self) -> None:
        """Take the news from the best of the open feeds; replicas take all."""
        if self._identity.role != "entry":
            return
        now = self._clock()
        sources = [
            Source(host, feed.zone, feed.is_cut_off(now))
            for host, feed in self._connected.items()
        ]
        best = choose_source(sources, self._identity.name, self._identity.zone)
        if best is None or best == self._source:
            return
        before, self._source = self._source, best
        self._source_since = now
        self._log.state("news_source", control=best, before=before or "none")
        feed = self._connected[best]
        # The reader of a feed notices a broken connection.
        with contextlib.suppress(OSError, curio.TaskTimeout):
            await feed.send({"news": 1})
            if now >= self._next_list_at and feed.n_endpoints != 0:
                await self._request_list(feed)
        former = self._connected.get(before or "")
        if former is not None:
            with contextlib.suppress(OSError, curio.TaskTimeout):
                await former.send({"news": 0})

    def _note_completeness(self) -> None:
        """Note since when this process hears of all endpoints.

        Each endpoint announces itself to one replica, so silence means something only
        while the source hears all replicas, or a replica all others.
        """
        view = self._view
        if self._identity.role != "entry":
            hosts = view.control_hosts - {self._own_host}
            if not hosts <= set(self._connected):
                view.connected_since = None
            elif view.connected_since is None:
                view.connected_since = self._clock()
            return
        source = self._connected.get(self._source or "")
        if source is None or source.complete_since is None:
            view.connected_since = None
        else:
            view.connected_since = max(source.complete_since, self._source_since)

    async def _follow(self, host: str) -> None:
        """Read the feed of one replica, again and again."""
        n_failures = 0
        while True:
            detail = "closed"
            position = min(n_failures, len(CONNECT_TIMEOUTS_MS) - 1)
            n_failures += 1
            try:
                await self._read(host, CONNECT_TIMEOUTS_MS[position])
            except curio.TaskTimeout:
                detail = "no connection in time"
            except OSError as error:
                detail = str(error) or type(error).__name__
            except FEED_ERRORS as error:
                detail = f"malformed line: {error!r}"
            if self._lose(host):
                n_failures = 0
                await self._choose_source()
                self._log.state("feed_lost", control=host, detail=detail)
            pause_ms = RETRY_PAUSE_MS if self._connected else FIRST_RETRY_PAUSE_MS
            await curio.sleep(pause_ms / 1000)

    def _lose(self, host: str) -> bool:
        """Forget the feed of a replica; return whether it was open."""
        if self._connected.pop(host, None) is None:
            return False
        # The list that it promised may have been lost with it.
        self._n_promised = 0
        if host == self._source:
            self._source = None
        return True

    async def _read(self, host: str, connect_timeout_ms: float) -> None:
        async with curio.timeout_after(connect_timeout_ms / 1000):
            sock = await open_connection(host, self._port)
        async with sock:
            identity = self._identity
            hello = {
                "name": identity.name,
                "zone": identity.zone,
                "role": identity.role,
                "news": 0,
            }
            feed = Feed(sock)
            await feed.send(hello)
            helpers = [await curio.spawn(self._ping, feed, daemon=True)]
            try:
                async for line in read_lines(sock, lambda: self._silence_ms(host)):
                    if host not in self._connected:
                        feed.zone = str(line.get("zone", ""))
                        if "n_endpoints" in line:
                            feed.n_endpoints = int(line["n_endpoints"])
                        self._connected[host] = feed
                        self._log.state("feed_opened", control=host)
                        asking = self._ask_list(feed, host)
                        helpers.append(await curio.spawn(asking, daemon=True))
                    index = self._take(line, host, feed)
                    if feed.is_new:
                        feed.is_new = False
                        await self._choose_source()
                        await self._ask_better_list(feed)
                    if index > max(self._view.orders.index, feed.asked_index):
                        feed.asked_index = index
                        await self._ask(feed)
            finally:
                for helper in helpers:
                    await helper.cancel()

    def _silence_ms(self, host: str) -> float:
        """Return for how long the replica may be silent."""
        is_told_all = host == self._source or self._identity.role != "entry"
        return SILENCE_LIMIT_MS if is_told_all else SPARSE_SILENCE_LIMIT_MS

    def _take(self, line: dict[str, Any], host: str, feed: Feed) -> int:
        """Take one line; return the index of the sender's orders, or 0."""
        view = self._view
        if "control" in line:
            view.take_control_hosts(line["control"])
        if "orders" in line:
            view.take_orders(line["orders"], host)
        if "announcements" in line:
            view.take_announcements(line["announcements"])
        if "heard" in line:
            view.hear(line["heard"])
        if "entries" in line and host == self._source:
            view.entry_ids = frozenset(line["entries"])
        if "joined" in line and host == self._source:
            view.entry_ids = (view.entry_ids | set(line["joined"])) - set(line["left"])
        if "n_peers" in line:
            feed.take_n_peers(
                int(line["n_peers"]), len(view.control_hosts), self._clock()
            )
        if "complete_ms" in line:
            complete_ms = float(line["complete_ms"])
            is_complete = complete_ms >= 0.0
            since = add_ms(self._clock(), -complete_ms)
            feed.complete_since = since if is_complete else None
        if "n_entries" in line:
            view.fleet.report(int(line["n_entries"]), self._clock())
        return int(line.get("index", 0))

    async def _ask(self, feed: Feed) -> None:
        """Ask for the orders, at once in the own zone and after a while elsewhere."""
        zone = self._identity.zone
        zones = {f.zone for f in self._connected.values()}
        if feed.zone == zone or zone not in zones:
            await feed.send(self._request_for_orders())
        else:
            await curio.spawn(self._ask_later, feed, daemon=True)

    def _request_for_orders(self) -> dict[str, Any]:
        orders = self._view.orders
        return {"get": 1, "index": orders.index, "version": orders.version}

    async def _ask_later(self, feed: Feed) -> None:
        await curio.sleep(OTHER_ZONE_WAIT_MS / 1000)
        if self._view.orders.index < feed.asked_index:
            with contextlib.suppress(OSError, curio.TaskTimeout):
                # The reader of the feed notices a broken connection.
                await feed.send(self._request_for_orders())

    async def _ask_list(self, feed: Feed, host: str) -> None:
        """Ask for the endpoints that aren't known here, one replica after the other.

        The source is asked again and again, so that news that got lost with a
        connection or a replica arrive in the end.
        """
        await curio.sleep(FIRST_LIST_WAIT_MS / 1000)
        is_first = True
        while True:
            if is_first or host == self._source:
                while (wait_ms := remaining_ms(self._next_list_at, self._clock())) > 0:
                    await curio.sleep(wait_ms / 1000)
                with contextlib.suppress(OSError, curio.TaskTimeout):
                    # The reader of the feed notices a broken connection.
                    await self._request_list(feed)
            is_first = False
            await curio.sleep(LIST_INTERVAL_MS / 1000)

    async def _ask_better_list(self, feed: Feed) -> None:
        """Ask for the list of a replica that knows more than was heard or promised.

        A replica that lost its disk knows no endpoint for a while, though it may be
        the source. Waiting for the regular list would leave a starting entry without
        endpoints until then.
        """
        n_known = max(self._n_promised, self._view.n_endpoints)
        if (feed.n_endpoints or 0) > n_known:
            with contextlib.suppress(OSError, curio.TaskTimeout):
                # The reader of the feed notices a broken connection.
                await self._request_list(feed)

    async def _request_list(self, feed: Feed) -> None:
        self._next_list_at = add_ms(self._clock(), LIST_PAUSE_MS)
        self._n_promised = max(self._n_promised, feed.n_endpoints or 0)
        await feed.send({"list": 1, "digests": self._view.digests()})

    async def _ping(self, feed: Feed) -> None:
        """Show the replica that this entry still listens."""
        with contextlib.suppress(OSError, curio.TaskTimeout):
            while True:
                await curio.sleep(PING_INTERVAL_MS / 1000)
                await feed.send({"ping": 1})
