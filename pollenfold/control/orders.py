"""Commits orders that have neither an id nor a version: on zones and on roll-outs.

``core/orders.py`` says why an order is bound to a confirmed index.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
from expression import Error, Result

from ..core.clock import Clock, Instant, add_ms, remaining_ms
from ..core.command_encoding import (
    decode_command,
    encode_command,
    is_order_on_same_subject,
)
from ..core.errors import ErrorKind
from ..core.orders import (
    Append,
    CheckSender,
    Confirm,
    Confirmed,
    Inspect,
    Step,
    order_steps,
)
from ..core.replicated_state import Evacuate, Order, StartRollout
from ..observe.events import EventLog
from ..wire.frames import Protocol
from ..wire.orders import ForwardedOrder, decode_order, encode_order
from .commands import Commands
from .forwarding import (
    FORWARD_TIMEOUT_MS,
    NOT_COMMITTED,
    RETRY_PAUSE_MS,
    Clients,
    call_replica,
    decode_outcome,
    encode_outcome,
)

IsWaiting = Callable[[], Awaitable[bool]]
"""Returns whether the sender of an order still waits for the response."""

InspectState = Callable[[], Awaitable[Result[int, ErrorKind] | None]]
"""Returns the outcome of an order that the state decides, or None to append it. It is
called when the state has every command acknowledged before the order."""


class Orders:
    """Takes the steps of ``order_steps`` for each order."""

    def __init__(self, commands: Commands, clock: Clock, log: EventLog) -> None:
        self._commands = commands
        self._clock = clock
        self._log = log
        self._clients: Clients = {}
        """Connections of their own: a leader of an earlier version closes one that
        carries an order, and other commands on it would be lost."""

    async def submit(
        self,
        order: Order,
        timeout_ms: float,
        is_waiting: IsWaiting,
        inspect: InspectState | None = None,
    ) -> Result[int, ErrorKind]:
        """Commit an order while its sender waits; return its index.

        After ``ABANDONED``, each of ``RETRIED_KINDS`` and an error of ``inspect`` it
        isn't committed; after another error it may be, unless another order on the
        subject is committed first.
        """
        deadline = add_ms(self._clock(), timeout_ms)
        steps = order_steps(is_inspected=inspect is not None)
        step = next(steps)
        error = ErrorKind.NOT_LEADER
        outcome: object
        while (left_ms := remaining_ms(deadline, self._clock())) > 0.0:
            if isinstance(step, Inspect):
                outcome = await self._inspect(step.confirmed, deadline, inspect)
            else:
                outcome = await self._take(step, order, left_ms, is_waiting)
            if isinstance(outcome, Result) and outcome.is_error():
                error = outcome.error
            try:
                step = steps.send(outcome)
            except StopIteration as end:
                result: Result[int, ErrorKind] = end.value
                return result
        return Error(error)

    async def _inspect(
        self, confirmed: Confirmed, deadline: Instant, inspect: InspectState | None
    ) -> Result[int, ErrorKind] | None:
        """Wait until the confirmed index is applied here, then inspect the state."""
        if not await self._commands.wait_until_applied(confirmed.index, deadline):
            return Error(ErrorKind.NOT_READY)
        return None if inspect is None else await inspect()

    async def _take(
        self, step: Step, order: Order, left_ms: float, is_waiting: IsWaiting
    ) -> object:
        """Take one step and return its outcome."""
        match step:
            case Confirm():
                timeout_ms = min(left_ms, FORWARD_TIMEOUT_MS)
                return await self._commands.confirm_at_leader(timeout_ms)
            case CheckSender():
                return await is_waiting()
            case Append(confirmed):
                return await self._append(order, confirmed, left_ms)
            case _:
                await curio.sleep(RETRY_PAUSE_MS / 1000)
                return None

    async def _append(
        self, order: Order, confirmed: Confirmed, left_ms: float
    ) -> Result[int, ErrorKind]:
        """Append an order at the leader that confirmed the index, and at no other."""
        command = encode_command(order)
        replica = self._commands.replica
        if replica.leader_id() != confirmed.leader_id:
            return Error(ErrorKind.NOT_LEADER)
        if replica.is_leader():
            return await self._propose(order, command, confirmed.index, left_ms)
        timeout_ms = min(left_ms, FORWARD_TIMEOUT_MS)
        if not confirmed.has_conditions:
            return await self._commands.forward(command, timeout_ms)
        payload = encode_order(ForwardedOrder(confirmed.index, command))
        response = await call_replica(
            self._clients, confirmed.leader_id, Protocol.ORDER, payload, timeout_ms
        )
        return decode_outcome(response)

    async def _propose(
        self, order: Order, command: bytes, after_index: int, timeout_ms: float
    ) -> Result[int, ErrorKind]:
        replica = self._commands.replica
        # No other task runs between this check and the append by ``propose``.
        if replica.may_have_after(
            after_index, lambda entry: is_order_on_same_subject(order, entry)
        ):
            subject = order.zone if isinstance(order, Evacuate) else order.service
            self._log.state("order_superseded", subject=subject, after=after_index)
            return Error(ErrorKind.SUPERSEDED)
        return await self._commands.propose(command, timeout_ms)

    async def handle_forwarded(self, payload: bytes) -> bytes:
        """Append a forwarded order on its condition; respond with the outcome.

        Raise ValueError if the payload isn't an order.
        """
        decoded = decode_order(payload)
        if decoded.is_error():
            raise ValueError(decoded.error.detail)
        forwarded = decoded.ok
        order = decode_command(forwarded.command)
        if not isinstance(order, Evacuate | StartRollout):
            raise ValueError(f"expected an order, got {type(order).__name__}")
        if not self._commands.replica.is_leader():
            return NOT_COMMITTED
        return encode_outcome(
            await self._propose(
                order, forwarded.command, forwarded.after_index, FORWARD_TIMEOUT_MS
            )
        )
