"""The orders and the announcements that one control replica holds.

Orders are applied from the replicated log. Announcements are kept in memory only:
endpoints repeat them, and what must not be forgotten of them, that an endpoint
leaves, is an order.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio
from expression import Error, Ok, Result

from ..core.agreement_members import host_and_port
from ..core.allowances import FleetSize
from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.digests import bucket_digests
from ..core.errors import ErrorKind
from ..core.orders import (
    Configure,
    Depart,
    Evacuate,
    Order,
    Orders,
    decode_order,
    decode_orders,
    encode_order,
)
from ..core.registry import Announcement, Registry, decode_announcement
from ..observe.events import EventLog
from ..wire.frames import Protocol
from ..wire.rpc import RpcClient
from .replica import Replica

BARRIER = b"\0"
"""A command that changes nothing; reads use it to be sure of the newest state."""

MAY_BE_COMMITTED = b"\0"
"""The answer to a forwarded command whose outcome the leader doesn't know. A replica of
an earlier version reads it as index 0, which is none."""

FORWARD_TIMEOUT_MS = 700.0
RETRY_PAUSE_MS = 40.0
UNKNOWN_WAIT_MS = 400.0
"""How long a replica waits to hear of an endpoint that leaves, which it doesn't know.

The endpoint itself waits a second for the answer."""

UNKNOWN_CHECK_MS = 10.0
FOUNDING_WAIT_MS = 6_000.0
"""How long a young group waits for all its members before it takes orders.

An order that only the first members hold is lost with their disks."""

Call = Callable[[str, bytes, float], Awaitable[Result[bytes, ErrorKind]]]
"""Calls the replica with an id; takes payload and time in ms."""


class OrderBook:
    """Holds the orders in force, and brings new ones into the log.

    ``replica`` is set after construction, since a replica takes ``apply``,
    ``snapshot`` and ``restore`` of this object. ``on_change`` is called when the
    orders changed, ``on_news`` with each announcement that says something new.
    """

    def __init__(self, n_members: int, clock: Clock, log: EventLog) -> None:
        self._n_members = n_members
        self._clock = clock
        self._log = log
        self._clients: dict[tuple[str, int], RpcClient] = {}
        self._started_at = clock()
        self.orders = Orders()
        self.registry = Registry()
        self.heard_ids: set[str] = set()
        self.relayed_heard_ids: set[str] = set()
        """Endpoints that other replicas heard again; told to entries only, since
        passed on between replicas they would keep a dead endpoint alive for ever."""

        self.replica: Replica
        self.on_change: Callable[[], None] = lambda: None
        self.on_news: Callable[[Announcement], None] = lambda news: None

    # State machine

    def apply(self, index: int, command: bytes) -> None:
        """Apply one committed command."""
        if command == BARRIER:
            return
        try:
            order = decode_order(command)
        except ValueError as error:
            self._log.state("bad_command", index=index, error=str(error))
            return
        is_changed = self.orders.apply(index, order)
        self._log.state(
            "order_applied",
            index=index,
            kind=type(order).__name__.lower(),
            subject=_subject(order),
            changed=is_changed,
        )
        self.on_change()

    def snapshot(self) -> bytes:
        """Return the orders as bytes."""
        return json.dumps(self.orders.encode()).encode()

    def restore(self, data: bytes) -> None:
        """Replace the orders by a snapshot."""
        self.orders = decode_orders(json.loads(data))
        self.on_change()

    # Announcements

    def take_announcement(self, announcement: Announcement) -> None:
        """Keep an announcement, and pass it on when it says something new."""
        if self.registry.merge(announcement, self._clock()):
            self._log.state(
                "endpoint_announced",
                endpoint=announcement.endpoint_id,
                service=announcement.service,
                leaving=announcement.is_leaving,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
            )
            self.on_news(announcement)

    def hear_relayed(self, endpoint_ids: Iterable[str]) -> None:
        """Note which endpoints announced themselves again to another replica."""
        now = self._clock()
        for endpoint_id in endpoint_ids:
            self.registry.hear(endpoint_id, now)
            self.relayed_heard_ids.add(endpoint_id)

    async def announce(
        self, announcement: Announcement, timeout_ms: float
    ) -> Result[None, ErrorKind]:
        """Take an announcement; Ok for one that leaves once that is agreed on."""
        self.heard_ids.add(announcement.endpoint_id)
        self.take_announcement(announcement)
        if not announcement.is_leaving:
            return Ok(None)
        order = Depart(announcement.endpoint_id, announcement.born_ms)
        return await self.submit(order, timeout_ms)

    async def depart(
        self, endpoint_id: str, now_ms: int, timeout_ms: float
    ) -> Result[None, ErrorKind]:
        """Agree that the present life of an endpoint leaves.

        A replica that just started with an empty disk waits a moment for what the
        others know. An endpoint that none of them knows is taken to have been born
        before ``now_ms``, which is in ms since 1970; the clock may have jumped, so
        that would bind the wrong lives of one that is known.
        """
        deadline = add_ms(self._clock(), timeout_ms)
        wait_until = min(deadline, add_ms(self._clock(), UNKNOWN_WAIT_MS))
        while endpoint_id not in self.registry and self._clock() < wait_until:
            await curio.sleep(UNKNOWN_CHECK_MS / 1000)
        known = self.registry.get(endpoint_id)
        born_ms = now_ms if known is None else known.born_ms
        left_ms = remaining_ms(deadline, self._clock())
        return await self.submit(Depart(endpoint_id, born_ms), left_ms)

    # Orders

    async def submit(self, order: Order, timeout_ms: float) -> Result[None, ErrorKind]:
        """Bring an order into force.

        Ok means that it is committed, or that what is committed makes it needless.
        After an error it may still come into force. An evacuation is proposed once: a
        second copy could come into force after it was withdrawn.
        """
        if self._is_settled(order):
            return Ok(None)
        if isinstance(order, Configure) and self._is_founding():
            return Error(ErrorKind.NOT_READY)
        deadline = add_ms(self._clock(), timeout_ms)
        is_repeatable = not isinstance(order, Evacuate)
        command = encode_order(order)
        committed = await self._commit_index(command, deadline, is_repeatable)
        return Error(committed.error) if committed.is_error() else Ok(None)

    def _is_settled(self, order: Order) -> bool:
        match order:
            case Configure(version, _):
                return version <= self.orders.version
            case Depart(endpoint_id, born_ms):
                return self.orders.has_departed(endpoint_id, born_ms)
            case Evacuate():
                # An older order to the contrary may be on its way to this replica.
                return False

    def _is_founding(self) -> bool:
        is_young = self._clock() < add_ms(self._started_at, FOUNDING_WAIT_MS)
        n_voters = len(self.replica.voters())
        return is_young and self.orders.version == 0 and n_voters < self._n_members

    async def read(self, timeout_ms: float) -> Result[Orders, ErrorKind]:
        """Return the orders after all that was acknowledged before the call."""
        deadline = add_ms(self._clock(), timeout_ms)
        committed = await self._commit_index(BARRIER, deadline)
        if committed.is_error():
            return Error(committed.error)
        while self.replica.applied_index() < committed.ok:
            if self._clock() >= deadline:
                return Error(ErrorKind.NO_QUORUM)
            await curio.sleep(0.01)
        return Ok(self.orders)

    async def _commit_index(
        self, command: bytes, deadline: Instant, is_repeatable: bool = True
    ) -> Result[int, ErrorKind]:
        """Commit a command through whoever leads; return its index.

        A repeatable command may be committed twice when an answer is lost. Any other
        is proposed again only after ``NOT_LEADER``, which says that it wasn't.
        """
        error = ErrorKind.NOT_LEADER
        while (left_ms := remaining_ms(deadline, self._clock())) > 0.0:
            if self.replica.is_leader():
                result = await self.replica.propose(command, left_ms)
            else:
                result = await self._forward(command, min(left_ms, FORWARD_TIMEOUT_MS))
            if result.is_ok():
                return result
            error = result.error
            if not is_repeatable and error is not ErrorKind.NOT_LEADER:
                break
            await curio.sleep(RETRY_PAUSE_MS / 1000)
        return Error(error)

    async def _forward(
        self, command: bytes, timeout_ms: float
    ) -> Result[int, ErrorKind]:
        leader_id = self.replica.leader_id()
        if leader_id is None:
            return Error(ErrorKind.NOT_LEADER)
        result = await self.call(leader_id, Protocol.OPERATOR, command, timeout_ms)
        if result.is_error():
            return Error(result.error)
        if result.ok == MAY_BE_COMMITTED:
            return Error(ErrorKind.NO_QUORUM)
        index = int.from_bytes(result.ok, "big")
        return Ok(index) if index else Error(ErrorKind.NOT_LEADER)

    async def handle_forwarded(self, command: bytes) -> bytes:
        """Commit another replica's command; the answer is its index.

        It is empty when the command won't be committed, and ``MAY_BE_COMMITTED`` when
        that isn't known.
        """
        if not self.replica.is_leader():
            return b""
        result = await self.replica.propose(command, FORWARD_TIMEOUT_MS)
        if result.is_ok():
            return result.ok.to_bytes(8, "big")
        return b"" if result.error is ErrorKind.NOT_LEADER else MAY_BE_COMMITTED

    async def call(
        self, replica_id: str, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        """Call another replica by its id, or by host and port."""
        address = host_and_port(replica_id)
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(*address)
        result = await client.call(protocol, payload, timeout_ms)
        if result.is_error():
            # The connection may be dead without a reset.
            await client.close()
        return result


def _subject(order: Order) -> str:
    match order:
        case Configure(version, _):
            return str(version)
        case Evacuate(zone, is_out):
            return f"{zone}:{'out' if is_out else 'in'}"
        case Depart(endpoint_id, born_ms):
            return f"{endpoint_id}:{born_ms}"


class PeerView:
    """Takes what the feeds of the other control replicas tell of endpoints.

    It has the part of an entry's view that ``Feeds`` uses. Orders come through the
    log, so they are never asked for here.
    """

    def __init__(self, book: OrderBook) -> None:
        self._book = book
        self.connected_since: Instant | None = None
        self.n_connected = 0
        self.entry_ids: frozenset[str] = frozenset()
        self.fleet = FleetSize()
        """What others count; this replica goes by its own readers."""

    @property
    def orders(self) -> Orders:
        """Orders with the highest index, so that none are asked for."""
        return Orders(index=1 << 62)

    @property
    def control_hosts(self) -> frozenset[str]:
        """The hosts of the voters."""
        voters = self._book.replica.voters()
        return frozenset(host_and_port(k)[0] for k in voters)

    @property
    def n_endpoints(self) -> int:
        """The number of endpoints that are known, those that leave included."""
        return len(self._book.registry)

    def digests(self) -> list[int]:
        """Return the digests of the endpoints that are known."""
        return bucket_digests(self._book.registry.announcements())

    def take_announcements(self, items: Iterable[tuple[list[object], float]]) -> None:
        """Take announcements that another replica received."""
        for fields, _ in items:
            self._book.take_announcement(decode_announcement(fields))

    def hear(self, endpoint_ids: list[str]) -> None:
        """Note repeated announcements, to tell them to entries."""
        self._book.hear_relayed(endpoint_ids)

    def expire(self) -> None:
        """Keep all; entries decide for themselves what is silent."""

    def take_orders(self, fields: dict[str, Any], source: str) -> bool:
        """Ignore orders, which come through the log."""
        return False

    def take_control_hosts(self, control_hosts: list[str]) -> None:
        """Ignore them: the voters of the log are known here."""
