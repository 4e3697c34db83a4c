"""An entry's subscriptions to the feeds of the control replicas.

An entry holds one connection to each control replica. Each replica announces the index
of its replicated state immediately when it changes and also at regular intervals; the
entry requests the state itself only when its own is older (``state_requests.py``). One
replica, the update source, also sends updates on endpoints and entries
(``core/update_source.py``).
"""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from ..core.clock import Clock, add_ms, remaining_ms
from ..core.feed_lines import checked_line
from ..core.input_limits import is_whole_number
from ..core.update_source import UpdateSource, choose_update_source
from ..observe.error_text import error_text
from ..observe.events import EventLog
from ..observe.steps import is_ended_from_outside, run_again, run_step
from ..wire.connections import open_connection
from ..wire.lines import read_lines
from .confirmation_requests import ConfirmationRequests
from .feed import Feed
from .state_requests import StateRequests
from .view import FleetView

CONNECT_TIMEOUTS_MS = (60.0, 120.0, 250.0)
"""For the first, the second and all later attempts. A VM without power sends no reply,
and TCP retransmits only after a second; a new attempt detects its return earlier."""

CHECK_INTERVAL_MS = 250.0
SETTLED_CHECK_INTERVAL_MS = 1_000.0
"""How often a process checks for replicas to connect to: more often while some are
missing."""

READ_TIMEOUT_MS = 1_500.0
"""Three missed lines; then the subscriber reconnects, since a connection may be lost
without a reset."""

SPARSE_READ_TIMEOUT_MS = 3_000.0
"""The same for a replica that isn't the update source and sends less often."""

RETRY_PAUSE_MS = 300.0
FIRST_RETRY_PAUSE_MS = 50.0
"""The pause while no feed is open, since this entry may have no state at all yet."""

FEED_ERRORS = (ValueError, KeyError, TypeError, IndexError, OverflowError)
"""Errors that a line with unexpected fields may raise. Malformed parts are skipped; an
error that escapes these checks ends the feed, which is then reopened."""

LIST_INTERVAL_MS = 10_000.0
"""How often the full list of endpoints is requested from the update source."""

PING_INTERVAL_MS = 2_000.0
FIRST_LIST_DELAY_MS = 300.0
"""The delay of the first list request to a replica that isn't the update source, whose
list is requested immediately."""

MIN_LIST_INTERVAL_MS = 1_000.0
"""The minimum time between two requests for the full list of endpoints.

Each replica knows nearly all endpoints. Requesting the lists of all replicas at once
would saturate a slow link and a small core while a starting entry begins to serve."""


OnPart = Callable[[Any], Awaitable[None]]
"""Called with the value of a part of a line; it checks the value."""


@dataclass(frozen=True, slots=True)
class FeedIdentity:
    """How a subscriber identifies itself; ``role`` is ``entry`` or ``control``.

    Connections come from ``host`` if it is given. ``is_peer`` is whether the entry
    takes requests from other entries.
    """

    name: str
    zone: str
    role: str = "entry"
    host: str = ""
    is_peer: bool = False


class Feeds:
    """Maintains one feed from each control replica.

    ``seeds`` returns the hosts to connect to in addition to those that the feeds
    report; the result may change while the process runs. ``port`` is the same on all
    VMs.
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
        self._state_requests = StateRequests(view, identity.zone, clock, log)
        self._leader_host = ""
        self._source: str | None = None
        self._source_since = clock()
        self._next_list_at = clock()
        self._n_requested_endpoints = 0
        """The most endpoints that a replica knew whose list was requested."""

        self._on_part: dict[str, OnPart] = {}
        self.heard_at = clock()
        """When the last line of any replica was read. Each sends one every second."""

    def add_part(self, name: str, on_part: OnPart) -> None:
        """Call a function with each value that replicas send under a name."""
        self._on_part[name] = on_part

    @property
    def leader(self) -> Feed | None:
        """The feed of the replica that leads the others, or None if none is open.

        After a change of leader both may say so for a moment; the one that said it
        last counts.
        """
        feed = self._connected.get(self._leader_host)
        return feed if feed is not None and feed.leads else None

    @property
    def n_connected(self) -> int:
        """The number of control replicas whose feed is open."""
        return len(self._connected)

    async def run(self) -> None:
        """Keep all feeds open until cancelled."""
        if self._identity.role == "entry":
            await self._keep_running("confirmations", self._confirmation_requests().run)
        await self._keep_running("state_requests", self._state_requests.run)
        while True:
            wanted = set(self._seeds()) | set(self._view.control_hosts)
            wanted.discard(self._own_host)
            for host in wanted - set(self._tasks):
                self._tasks[host] = await curio.spawn(
                    self._maintain_feed, host, daemon=True
                )
            for host in set(self._tasks) - wanted:
                if host not in self._connected:
                    await self._tasks.pop(host).cancel()
            await self._choose_source()
            await self._send_limit_reports()
            self._update_connected_since()
            self._view.n_connected = len(self._connected)
            self._view.expire()
            is_settled = wanted <= set(self._connected)
            pause_ms = SETTLED_CHECK_INTERVAL_MS if is_settled else CHECK_INTERVAL_MS
            await curio.sleep(pause_ms / 1000)

    async def _keep_running(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Start a task that nobody waits for, and again after each error.

        Without it this process would keep the configuration that it has.
        """

        def log_failure(task: str, error: BaseException) -> None:
            self._log.state("task_failed", task=task, detail=error_text(error))

        await curio.spawn(run_again, name, log_failure, run, daemon=True)

    def _confirmation_requests(self) -> ConfirmationRequests:
        view = self._view
        return ConfirmationRequests(
            view.confirmations,
            self._feeds_by_preference,
            view.is_state_current,
            self._clock,
            self._log,
        )

    def _feeds_by_preference(self) -> list[Feed]:
        """Return the open feeds: the update source, then those that aren't isolated."""
        now = self._clock()
        hosts = sorted(
            self._connected,
            key=lambda host: (
                host != self._source,
                self._connected[host].is_isolated(now),
                host,
            ),
        )
        return [self._connected[host] for host in hosts]

    async def _choose_source(self) -> None:
        """Choose the best open feed as update source; replicas use all feeds."""
        if self._identity.role != "entry":
            return
        now = self._clock()
        sources = [
            UpdateSource(host, feed.zone, feed.is_isolated(now))
            for host, feed in self._connected.items()
        ]
        best = choose_update_source(sources, self._identity.name, self._identity.zone)
        if best is None or best == self._source:
            return
        previous, self._source = self._source, best
        self._source_since = now
        self._log.state("news_source", control=best, before=previous or "none")
        feed = self._connected[best]
        # The task that reads the feed detects a broken connection.
        with contextlib.suppress(OSError, curio.TaskTimeout):
            await feed.send({"news": 1})
            await self._view.quarantine.queue_all()
            if now >= self._next_list_at and feed.n_endpoints != 0:
                await self._request_list(feed)
        former = self._connected.get(previous or "")
        if former is not None:
            with contextlib.suppress(OSError, curio.TaskTimeout):
                await former.send({"news": 0})

    async def _send_limit_reports(self) -> None:
        """Send the update source what this entry saw of the endpoints' limits."""
        source = self._connected.get(self._source or "")
        if source is None:
            return
        reports = self._view.limits.take_reports()
        if reports:
            # The task that reads the feed detects a broken connection.
            with contextlib.suppress(OSError, curio.TaskTimeout):
                await source.send({"limits": reports})

    async def send_quarantine_reports(self) -> None:
        """Send the update source what this entry saw of requests that end servers.

        They are sent at once: until all entries know, such a request ends more servers.
        """
        quarantine = self._view.quarantine
        while True:
            await quarantine.has_reports.wait()
            source = self._connected.get(self._source or "")
            if source is None:
                # All that is known is queued again for the next update source.
                quarantine.take_reports()
                continue
            with contextlib.suppress(OSError, curio.TaskTimeout):
                # The task that reads the feed detects a broken connection.
                await source.send({"quarantine": quarantine.take_reports()})

    def _update_connected_since(self) -> None:
        """Update since when this process receives the announcements of all endpoints.

        Each endpoint announces itself to one replica only, so missing announcements
        are meaningful only while the update source is in contact with all replicas or,
        on a replica, while this replica is.
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

    async def _maintain_feed(self, host: str) -> None:
        """Read the feed of one replica, and reconnect whenever it ends.

        Nothing starts this task again, so no error may end it.
        """
        n_failures = 0
        while True:
            position = min(n_failures, len(CONNECT_TIMEOUTS_MS) - 1)
            n_failures += 1
            detail = await self._read_until_end(host, CONNECT_TIMEOUTS_MS[position])
            if self._remove_feed(host):
                n_failures = 0
                await run_step("close_feed", self._log_failure, self._close, host)
                self._log.state("feed_lost", control=host, detail=detail)
            pause_ms = RETRY_PAUSE_MS if self._connected else FIRST_RETRY_PAUSE_MS
            await curio.sleep(pause_ms / 1000)

    async def _read_until_end(self, host: str, connect_timeout_ms: float) -> str:
        """Read a feed until it ends; return why it ended."""
        try:
            await self._read(host, connect_timeout_ms)
        except curio.TaskTimeout:
            return "connection timed out"
        except OSError as error:
            return str(error) or type(error).__name__
        except FEED_ERRORS as error:
            return f"malformed line: {error_text(error)}"
        except (Exception, curio.CancelledError) as error:
            if await is_ended_from_outside(error):
                raise
            return error_text(error)
        return "closed"

    async def _close(self, host: str) -> None:
        await self._state_requests.close(host)
        await self._choose_source()

    def _log_failure(self, step: str, error: BaseException) -> None:
        self._log.state("feed_step_failed", step=step, detail=error_text(error))

    def _remove_feed(self, host: str) -> bool:
        """Remove the feed of a replica; return whether it was open."""
        if self._connected.pop(host, None) is None:
            return False
        # A requested list may have been lost with the connection.
        self._n_requested_endpoints = 0
        if host == self._source:
            self._source = None
        return True

    async def _read(self, host: str, connect_timeout_ms: float) -> None:
        async with curio.timeout_after(connect_timeout_ms / 1000):
            sock = await open_connection(host, self._port, self._identity.host)
        async with sock:
            identity = self._identity
            hello = {
                "name": identity.name,
                "zone": identity.zone,
                "role": identity.role,
                "news": 0,
                "relay": int(identity.is_peer),
            }
            feed = Feed(sock)
            await feed.send(hello)
            tasks = [await curio.spawn(self._ping, feed, daemon=True)]
            try:
                async for line in read_lines(
                    sock,
                    lambda: self._read_timeout_ms(host),
                    lambda: self._state_requests.record_part(host),
                ):
                    if host not in self._connected:
                        feed.zone = str(line.get("zone", ""))
                        if is_whole_number(line.get("n_endpoints")):
                            feed.n_endpoints = line["n_endpoints"]
                        self._connected[host] = feed
                        self._state_requests.open(host, feed)
                        self._log.state("feed_opened", control=host)
                        list_requests = self._request_lists(feed, host)
                        tasks.append(await curio.spawn(list_requests, daemon=True))
                    index = await self.apply_line(line, host, feed)
                    if feed.is_new:
                        feed.is_new = False
                        await self._choose_source()
                        await self._request_larger_list(feed)
                    if index:
                        await self._state_requests.announce(host, index)
            finally:
                for task in tasks:
                    await task.cancel()

    def _read_timeout_ms(self, host: str) -> float:
        """Return how long the replica may send nothing before the feed is closed."""
        # Control replicas get all updates from each other.
        gets_all_updates = host == self._source or self._identity.role != "entry"
        return READ_TIMEOUT_MS if gets_all_updates else SPARSE_READ_TIMEOUT_MS

    async def apply_line(self, sent: dict[str, Any], host: str, feed: Feed) -> int:
        """Apply one line; return the index of the sender's replicated state, or 0.

        Malformed parts are skipped and counted.
        """
        view = self._view
        self.heard_at = self._clock()
        line, malformed = checked_line(sent)
        for name in malformed:
            view.malformed.record(name, f"in a line of {host}")
        if "control" in line:
            view.set_control_hosts(line["control"])
        if "orders" in line:
            await self._state_requests.apply(line["orders"], host)
        if "announcements" in line:
            view.apply_announcements(line["announcements"], line.get("versions"))
        if "heard" in line:
            view.renew_endpoints(line["heard"])
        if "limits" in line:
            view.apply_limit_reports(line["limits"])
        if "confirmed" in line:
            request_id, index = line["confirmed"]
            view.confirmations.record(int(request_id), int(index))
        if "quarantine" in line:
            view.apply_quarantine_reports(line["quarantine"])
        if host == self._source:
            self._apply_peers(line)
        if "n_peers" in line:
            feed.record_n_peers(
                int(line["n_peers"]), len(view.control_hosts), self._clock()
            )
        if "complete_ms" in line:
            complete_ms = float(line["complete_ms"])
            is_complete = complete_ms >= 0.0
            since = add_ms(self._clock(), -complete_ms)
            feed.complete_since = since if is_complete else None
        if "leads" in line:
            feed.leads = bool(line["leads"])
            if feed.leads:
                self._leader_host = host
        for name in self._on_part.keys() & line.keys():
            await self._on_part[name](line[name])
        if "n_entries" in line:
            view.fleet.report(int(line["n_entries"]), self._clock())
        index = int(line.get("index", 0))
        view.announced_index = max(view.announced_index, index)
        return index

    def _apply_peers(self, line: dict[str, Any]) -> None:
        """Apply what a line of the source of updates says about other entries."""
        view = self._view
        if "entries" in line:
            view.entry_ids = frozenset(line["entries"])
            view.peer_directory.replace(view.entry_ids)
        if "joined" in line:
            left = line.get("left", ())
            view.entry_ids = (view.entry_ids | set(line["joined"])) - set(left)
            view.peer_directory.remove(left)
        if "peers" in line:
            view.peer_directory.apply(line["peers"], self._identity.name)

    async def _request_lists(self, feed: Feed, host: str) -> None:
        """Request the endpoints that aren't known here, from one replica at a time.

        The request to the update source is repeated, so that updates that were lost
        with a connection or a replica arrive eventually.
        """
        await curio.sleep(FIRST_LIST_DELAY_MS / 1000)
        is_first = True
        while True:
            if is_first or host == self._source:
                while (wait_ms := remaining_ms(self._next_list_at, self._clock())) > 0:
                    await curio.sleep(wait_ms / 1000)
                with contextlib.suppress(OSError, curio.TaskTimeout):
                    # The task that reads the feed detects a broken connection.
                    await self._request_list(feed)
            is_first = False
            await curio.sleep(LIST_INTERVAL_MS / 1000)

    async def _request_larger_list(self, feed: Feed) -> None:
        """Request the list of a replica that knows more than was received or requested.

        A replica that lost its disk knows no endpoints for a while, and it may still be
        the update source. Waiting for the regular list request would leave a starting
        entry without endpoints until then.
        """
        n_known = max(self._n_requested_endpoints, self._view.n_endpoints)
        if (feed.n_endpoints or 0) > n_known:
            with contextlib.suppress(OSError, curio.TaskTimeout):
                # The task that reads the feed detects a broken connection.
                await self._request_list(feed)

    async def _request_list(self, feed: Feed) -> None:
        self._next_list_at = add_ms(self._clock(), MIN_LIST_INTERVAL_MS)
        self._n_requested_endpoints = max(
            self._n_requested_endpoints, feed.n_endpoints or 0
        )
        await feed.send({"list": 1, "digests": self._view.digests()})

    async def _ping(self, feed: Feed) -> None:
        """Send keep-alives, so that the replica doesn't drop this subscriber."""
        with contextlib.suppress(OSError, curio.TaskTimeout):
            while True:
                await curio.sleep(PING_INTERVAL_MS / 1000)
                await feed.send({"ping": 1})
