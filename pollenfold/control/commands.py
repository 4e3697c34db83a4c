"""Submits commands to the replicated log, here or through the current leader."""

from __future__ import annotations

from collections.abc import Callable

import curio
from expression import Error, Result

from ..core.agreement.acknowledgement import Group, is_held_back
from ..core.clock import Clock, Instant, remaining_ms
from ..core.errors import ErrorKind
from ..core.orders import Confirmed
from ..observe.events import EventLog
from ..wire.frames import Protocol
from .forwarding import (
    CONFIRMATION_BYTES,
    FORWARD_TIMEOUT_MS,
    NOT_APPENDED_KINDS,
    NOT_COMMITTED,
    RETRY_PAUSE_MS,
    Clients,
    call_replica,
    decode_outcome,
    encode_outcome,
)
from .replica import Replica

BARRIER = b"\0"
"""A no-op command; reads commit one so that they are linearizable."""

CONFIRM_INDEX = b""
"""Asks the leader for its commit index, confirmed by a majority. A leader of an earlier
version fails to handle it, so that nothing is confirmed."""


class Commands:
    """Commits encoded commands, and confirms indices at the leader.

    ``is_new`` returns whether no configuration was accepted yet. ``replica`` is set
    after construction, since it needs the state machine.
    """

    def __init__(
        self, n_members: int, is_new: Callable[[], bool], clock: Clock, log: EventLog
    ) -> None:
        self.n_members = n_members
        self._is_new = is_new
        self._clock = clock
        self._log = log
        self._clients: Clients = {}
        self._confirmation_clients: Clients = {}
        """Confirmations have connections of their own: one that fails closes its
        connection, and a command on the same one would be lost with it."""

        self._started_at = clock()
        self._has_held_back = False
        self.replica: Replica

    def _is_held_back(self) -> bool:
        """Return whether this leader appends no command until it has more voters."""
        led_since = self.replica.leader_since()
        if led_since is None:
            return False
        group = Group(
            self.replica.n_whole_voters(),
            self.replica.n_answering_voters(),
            self.n_members,
            self._is_new(),
            self._started_at,
            led_since,
            self.replica.growing_since(),
        )
        was_held_back = self._has_held_back
        self._has_held_back = is_held_back(group, self._clock())
        if self._has_held_back and not was_held_back:
            self._log.state(
                "orders_held_back",
                n_voters=group.n_voters,
                n_answering=group.n_answering,
                n_target=group.n_target,
            )
        return self._has_held_back

    async def confirm_at_leader(
        self, timeout_ms: float
    ) -> Result[Confirmed, ErrorKind]:
        """Ask the leader for an index that has all commands acknowledged before."""
        leader_id = self.replica.leader_id()
        if leader_id is None:
            return Error(ErrorKind.NOT_LEADER)
        if self.replica.is_leader():
            index = await self.replica.confirm_index(timeout_ms)
            return index.map(lambda index: Confirmed(leader_id, index))
        response = await call_replica(
            self._confirmation_clients,
            leader_id,
            Protocol.OPERATOR,
            CONFIRM_INDEX,
            timeout_ms,
        )
        if response.is_error():
            return Error(response.error)
        has_conditions = len(response.ok) == CONFIRMATION_BYTES
        index = decode_outcome(response)
        return index.map(lambda index: Confirmed(leader_id, index, has_conditions))

    async def wait_until_applied(self, index: int, deadline: Instant) -> bool:
        """Wait until this replica applied an index; return False after the deadline."""
        while self.replica.applied_index() < index:
            if self._clock() >= deadline:
                return False
            await curio.sleep(0.01)
        return True

    async def commit_index(
        self, command: bytes, deadline: Instant, is_repeatable: bool = True
    ) -> Result[int, ErrorKind]:
        """Commit a command through the current leader; return its index.

        A repeatable command may be committed twice when a response is lost. Any other
        is retried only after errors which mean that it wasn't committed.
        """
        error = ErrorKind.NOT_LEADER
        while (left_ms := remaining_ms(deadline, self._clock())) > 0.0:
            if self.replica.is_leader():
                result = await self.propose(command, left_ms)
            else:
                result = await self.forward(command, min(left_ms, FORWARD_TIMEOUT_MS))
            if result.is_ok():
                return result
            error = result.error
            if not is_repeatable and error not in NOT_APPENDED_KINDS:
                break
            await curio.sleep(RETRY_PAUSE_MS / 1000)
        return Error(error)

    async def propose(
        self, command: bytes, timeout_ms: float
    ) -> Result[int, ErrorKind]:
        """Commit a command as the leader; log how many voters are known to hold it.

        ``n_whole`` in the log leaves out voters that are about to be replaced.

        ``NOT_READY`` means that it isn't appended, since voters are missing that are
        about to come (``core/agreement/acknowledgement.py``). Barriers are never held
        back.
        """
        if command != BARRIER and self._is_held_back():
            return Error(ErrorKind.NOT_READY)
        result = await self.replica.propose(command, timeout_ms)
        if result.is_ok() and command != BARRIER:
            self._log.state(
                "order_agreed",
                index=result.ok,
                n_holding=self.replica.n_holding(result.ok),
                n_voters=len(self.replica.voters()),
                n_whole=self.replica.n_whole_voters(),
                n_target=self.n_members,
            )
        return result

    async def forward(
        self, command: bytes, timeout_ms: float
    ) -> Result[int, ErrorKind]:
        """Let the leader commit a command on no condition; return its index."""
        leader_id = self.replica.leader_id()
        if leader_id is None:
            return Error(ErrorKind.NOT_LEADER)
        response = await self.call(leader_id, Protocol.OPERATOR, command, timeout_ms)
        return decode_outcome(response)

    async def handle_forwarded(self, command: bytes) -> bytes:
        """Commit a command forwarded by another replica; respond with its index.

        The response is empty when the command won't be committed, and
        ``MAY_BE_COMMITTED`` when the outcome is unknown.
        """
        if not self.replica.is_leader():
            return NOT_COMMITTED
        if command == CONFIRM_INDEX:
            confirmed = await self.replica.confirm_index(FORWARD_TIMEOUT_MS)
            if confirmed.is_error():
                return NOT_COMMITTED
            return confirmed.ok.to_bytes(CONFIRMATION_BYTES, "big")
        return encode_outcome(await self.propose(command, FORWARD_TIMEOUT_MS))

    async def call(
        self, replica_id: str, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        """Call another replica by its id, or by host and port."""
        return await call_replica(
            self._clients, replica_id, protocol, payload, timeout_ms
        )
