"""Reading a long body while it is streamed, until the deadline of its call."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from ..core.clock import Clock, remaining_ms
from ..core.errors import ErrorKind
from ..http.messages import BodyError, BodySource
from .calls import Call

OnBrokenOff = Callable[[str, bool], None]
"""Called with the reason, and whether the sender of the body is the cause."""


def is_sender_late(waited_ms: float, total_ms: float) -> bool:
    """Return whether a body was late because of its sender.

    ``waited_ms`` is how much of the time was spent waiting for the sender. In the rest
    of it, the caller had yet to take what had come.
    """
    return waited_ms >= 0.5 * total_ms


def read_until_deadline(
    call: Call, source: BodySource, clock: Clock, on_broken_off: OnBrokenOff
) -> Callable[[], Awaitable[bytes]]:
    """Return a reader of a long body that ends at the deadline of the call.

    It raises BodyError if the body ends early, after it called ``on_broken_off``.
    """
    started_at = clock()
    waited_ms = 0.0

    async def read() -> bytes:
        nonlocal waited_ms
        asked_at = clock()
        left_ms = remaining_ms(call.deadline, asked_at)
        try:
            if left_ms <= 0.0:
                raise curio.TaskTimeout
            async with curio.timeout_after(left_ms / 1000):
                data = await source.read()
            waited_ms += clock() - asked_at
        except BodyError as error:
            on_broken_off(str(error), True)
            raise BodyError(ErrorKind.BACKEND_FAILED) from error
        except curio.TaskTimeout as error:
            waited_ms += clock() - asked_at
            is_late = is_sender_late(waited_ms, clock() - started_at)
            on_broken_off("deadline", is_late)
            raise BodyError(ErrorKind.BACKEND_FAILED) from error
        return data

    return read
