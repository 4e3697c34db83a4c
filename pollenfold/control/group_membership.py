"""How a control replica joins its group, and leaves it before it stops."""

from __future__ import annotations

import json
from collections.abc import Callable

import curio

from ..core.agreement.departures import Departure
from ..core.agreement.members import address_of, host_and_port
from ..core.clock import Clock, Instant, add_ms
from ..core.input_limits import is_endpoint_id, parse_address
from ..observe.events import EventLog
from ..wire.frames import Protocol
from .forwarding import Clients, call_replica
from .replica import Replica

JOIN_INTERVAL_MS = 400.0
LEAVE_INTERVAL_MS = 50.0
CALL_TIMEOUT_MS = 400.0
LEADER_TIMEOUT_MS = 1_000.0
"""A replica without contact to a leader for this long sends join requests again."""

LEAVE_PREFIX = b"\0leave\0"
"""Precedes the id of a replica that leaves. Replicas of earlier versions read it as a
malformed id and refuse it."""


class GroupMembership:
    """Keeps a replica in its group until it stops.

    ``seeds`` and ``control_hosts`` return hosts where other replicas may run; all
    listen on ``peer_port``. For example, spawn ``run``, register ``handle`` for
    ``Protocol.MEMBERSHIP``, and await ``leave(until)`` before the process ends.
    """

    def __init__(
        self,
        replica: Replica,
        replica_id: str,
        seeds: Callable[[], list[str]],
        control_hosts: Callable[[], frozenset[str]],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._replica = replica
        self._replica_id = replica_id
        self._host, self._peer_port = host_and_port(replica_id)
        self._seeds = seeds
        self._control_hosts = control_hosts
        self._clock = clock
        self._log = log
        self._clients: Clients = {}
        """Connections of their own: a failed call closes its connection, and an order
        that is forwarded on the same one would be lost with it."""

        self._leave_request = LEAVE_PREFIX + replica_id.encode()
        self._n_announced = 0
        self.is_leaving = False

    def is_member(self) -> bool:
        """Return whether this replica is a voter in its own view of the group."""
        return self._replica_id in self._replica.voters()

    def leader_host(self) -> str | None:
        """Return the host of the leader, if it is known and isn't this replica."""
        leader_id = self._replica.leader_id()
        if leader_id is None or leader_id == self._replica_id:
            return None
        return host_and_port(leader_id)[0]

    # Requests of other replicas

    async def handle(self, payload: bytes) -> bytes:
        """Handle a request to join or to leave; return the leader's id.

        The response to a leave also says how far it is, if this replica leads. Raise
        ValueError for a malformed id, to which nothing could be sent.
        """
        is_leave = payload.startswith(LEAVE_PREFIX)
        replica_id = payload.removeprefix(LEAVE_PREFIX).decode()
        is_id = is_endpoint_id(replica_id)
        if not is_id or parse_address(address_of(replica_id)) is None:
            raise ValueError(f"expected the id of a replica, got {replica_id!r:.80}")
        response = {"leader": self._replica.leader_id()}
        if is_leave:
            departure = await self._replica.leave(replica_id)
            response["departure"] = None if departure is None else departure.value
        else:
            self._replica.join(replica_id)
        return json.dumps(response).encode()

    # Joining

    async def run(self) -> None:
        """Send join requests while this replica is no voter or has lost the leader."""
        while True:
            await curio.sleep(JOIN_INTERVAL_MS / 1000)
            leader_contact_at = self._replica.last_leader_contact()
            is_leader_lost = leader_contact_at is None or self._clock() > add_ms(
                leader_contact_at, LEADER_TIMEOUT_MS
            )
            if self._replica.is_leader() or (self.is_member() and not is_leader_lost):
                continue
            if self.is_leaving:
                continue
            for address in self._other_addresses():
                await curio.spawn(self._send_join_request, address, daemon=True)

    def _other_addresses(self) -> set[str]:
        hosts = set(self._seeds()) | self._control_hosts()
        leader_host = self.leader_host()
        if leader_host is not None:
            hosts.add(leader_host)
        return {f"{host}:{self._peer_port}" for host in hosts - {self._host}}

    async def _send_join_request(self, address: str) -> None:
        payload = self._replica_id.encode()
        response = await self._call(address, payload)
        leader_id = response.get("leader")
        if leader_id and address_of(leader_id) != address:
            await self._call(leader_id, payload)

    async def _call(self, replica_id: str, payload: bytes) -> dict[str, str]:
        """Call a replica by its id or address; return no fields if the call fails."""
        result = await call_replica(
            self._clients, replica_id, Protocol.MEMBERSHIP, payload, CALL_TIMEOUT_MS
        )
        return {} if result.is_error() else json.loads(result.ok)

    # Leaving

    async def leave(self, until: Instant) -> None:
        """Wait until a learner has this replica's place, or until there is none.

        Meanwhile the replica keeps voting and storing. At the instant ``until`` it
        gives up: its place is then taken once its silence is noticed.
        """
        self.is_leaving = True
        started_at = self._clock()
        self._log.state("leave_started", voters=_joined(self._replica.voters()))
        outcome = Departure.WAITING
        while outcome is Departure.WAITING and self._clock() < until:
            outcome = await self._departure()
            if outcome is Departure.WAITING:
                await curio.sleep(LEAVE_INTERVAL_MS / 1000)
        self._log.state(
            "leave_ended",
            outcome="gave_up" if outcome is Departure.WAITING else outcome.value,
            waited_ms=round(self._clock() - started_at),
        )

    async def _departure(self) -> Departure:
        """Announce the leave to the leader; return how far it is.

        While no leader is known to have heard of it, a voter waits.
        """
        departure = await self._replica.leave(self._replica_id)
        if departure is None:
            departure = await self._announce_leave()
        if departure is None and self._replica.has_left():
            # It led, and its own removal was committed just now, or was no voter.
            return Departure.LEFT
        return departure or Departure.WAITING

    async def _announce_leave(self) -> Departure | None:
        """Tell another replica of the leave; return what the leader says, or None.

        A replica that was removed hears of no new leader, so if the one that it knows
        doesn't answer, it asks the others in turn.
        """
        addresses = sorted(self._other_addresses())
        if not addresses:
            return None
        self._n_announced += 1
        address = addresses[self._n_announced % len(addresses)]
        for replica_id in (self._replica.leader_id(), address):
            if replica_id is None or replica_id == self._replica_id:
                continue
            response = await self._call(replica_id, self._leave_request)
            if not response.get("departure") and response.get("leader"):
                response = await self._call(response["leader"], self._leave_request)
            if response.get("departure"):
                return Departure(response["departure"])
        return None


def _joined(replica_ids: frozenset[str]) -> str:
    return ",".join(sorted(replica_ids))
