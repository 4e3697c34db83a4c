"""Reading a long body while it is streamed, until the deadline of its call."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from ..core.clock import Clock, remaining_ms
from ..core.errors import ErrorKind
from ..http.messages import BodyError, BodySource
from .calls import Call


def read_until_deadline(
    call: Call,
    source: BodySource,
    clock: Clock,
    on_broken_off: Callable[[str], None],
) -> Callable[[], Awaitable[bytes]]:
    """Return a reader of a long body that ends at the deadline of the call.

    It raises BodyError if the body ends early, after it called ``on_broken_off`` with
    the reason.
    """

    async def read() -> bytes:
        left_ms = remaining_ms(call.deadline, clock())
        try:
            if left_ms <= 0.0:
                raise BodyError(ErrorKind.DEADLINE_EXCEEDED, "deadline")
            async with curio.timeout_after(left_ms / 1000):
                return await source.read()
        except (BodyError, curio.TaskTimeout) as error:
            on_broken_off(str(error) or "deadline")
            raise BodyError(ErrorKind.BACKEND_FAILED) from error

    return read
