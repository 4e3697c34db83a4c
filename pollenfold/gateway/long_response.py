"""Responses that are passed on while they still arrive."""

from __future__ import annotations

import curio

from ..core.clock import Clock, remaining_ms
from ..core.errors import ErrorKind
from ..http.messages import BodyError, BodySource, Response
from ..observe.events import EventLog
from .balancer import Balancer, Pick
from .calls import Call

BROKEN_OFF_PENALTY = 2.0


def keep_for_rest(
    call: Call,
    pick: Pick,
    response: Response,
    balancer: Balancer,
    clock: Clock,
    log: EventLog,
) -> None:
    """Keep the connection until the rest of a long response was passed on.

    The response has a ``rest``; it is replaced by one that ends at the deadline of the
    call, tells the health of the endpoint when it breaks off, and gives the connection
    back when it is closed.
    """
    source = response.rest
    if source is None:
        raise ValueError("the response is whole")
    endpoint = pick.endpoint
    endpoint.health.n_in_flight += 1

    async def read() -> bytes:
        left_ms = remaining_ms(call.deadline, clock())
        try:
            if left_ms <= 0.0:
                raise BodyError(ErrorKind.DEADLINE_EXCEEDED, "deadline")
            async with curio.timeout_after(left_ms / 1000):
                return await source.read()
        except (BodyError, curio.TaskTimeout) as error:
            log.request(
                "response_broken_off",
                True,
                request=call.request_id.decode("latin-1"),
                endpoint=endpoint.announcement.endpoint_id,
                detail=str(error) or "deadline",
            )
            endpoint.health.fail(BROKEN_OFF_PENALTY, clock())
            raise BodyError(ErrorKind.BACKEND_FAILED) from error

    async def close() -> None:
        endpoint.health.n_in_flight -= 1
        await balancer.give_back(endpoint, pick.connection)

    response.rest = BodySource(read, close, source.length)
