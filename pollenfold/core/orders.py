"""How a replica commits an order that has neither an id nor a version.

An operator that gets no response repeats its order at another replica, and may order
the opposite afterwards. The first copy may still lie in the socket of a replica that
was paused, with a command that was forwarded to a paused leader, or on a connection
that a network partition interrupts. It must not take effect after the later order.

So an order is bound to a state from a time when its sender was still waiting for it:

1. The replica reads the order.
2. It asks the leader for an index that has every command acknowledged so far.
3. For an order on a roll-out it waits until it has applied this index. Its state then
   shows whether the order repeats or contradicts an earlier one.
4. It checks that the sender still waits. What the sender orders from now on is
   committed after this index.
5. The leader appends the command only if its log has no other order on the subject
   after the index, committed or not.

Whatever is paused or delayed in between, a later order then precedes the command in
the log, and the command is refused.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass

from expression import Error, Ok, Result

from .errors import ErrorKind


@dataclass(frozen=True, slots=True)
class Confirmed:
    """An index that has every command acknowledged before the leader was asked.

    ``has_conditions`` is whether the leader appends a command on a condition; one of an
    earlier version doesn't.
    """

    leader_id: str
    index: int
    has_conditions: bool = True


@dataclass(frozen=True, slots=True)
class Confirm:
    """Ask the leader for a confirmed index: ``Result[Confirmed, ErrorKind]``."""


@dataclass(frozen=True, slots=True)
class CheckSender:
    """Find out whether the sender still waits for the response: a bool."""


@dataclass(frozen=True, slots=True)
class Inspect:
    """Find out from the state at the confirmed index whether to append the order.

    The outcome is None if so, otherwise that of the order:
    ``Result[int, ErrorKind] | None``.
    """

    confirmed: Confirmed


@dataclass(frozen=True, slots=True)
class Append:
    """Let the leader append the order, unless another one came after the index.

    The outcome is the index of the order: ``Result[int, ErrorKind]``.
    """

    confirmed: Confirmed


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait a moment before the next attempt; the outcome is None."""


Step = Confirm | Inspect | CheckSender | Append | Pause
Steps = Generator[Step, object, Result[int, ErrorKind]]

RETRIED_KINDS = (
    ErrorKind.NOT_LEADER,
    ErrorKind.NOT_READY,
    ErrorKind.SUPERSEDED,
)
"""Errors after which the order isn't in the log and won't be, so that it can be tried
again. After any other error a second copy could follow the first one."""


def order_steps(is_inspected: bool = False) -> Steps:
    """Yield the steps of one order; receive the outcome of each, return the last one.

    ``is_inspected`` is whether the state decides if the order is appended.

    Whoever runs the steps ends them when the time for the order is over. They may be
    delayed without limit at any point. For example::

        steps = order_steps()
        step = next(steps)  # Confirm()
        step = steps.send(Ok(Confirmed("a", 7)))  # CheckSender()
    """
    while True:
        confirmed = yield Confirm()
        assert isinstance(confirmed, Result)
        if confirmed.is_error():
            # Nothing was appended, so asking again is harmless.
            yield Pause()
            continue
        if is_inspected:
            outcome = yield Inspect(confirmed.ok)
            if isinstance(outcome, Result):
                return outcome
        is_waiting = yield CheckSender()
        if not is_waiting:
            return Error(ErrorKind.ABANDONED)
        appended = yield Append(confirmed.ok)
        assert isinstance(appended, Result)
        if appended.is_ok():
            return Ok(appended.ok)
        if appended.error not in RETRIED_KINDS:
            return Error(appended.error)
        yield Pause()
