"""Long responses, which are streamed to the caller while they arrive."""

from __future__ import annotations

from ..core.clock import Clock
from ..http.messages import BodySource, Response
from ..observe.events import EventLog
from .balancer import Balancer
from .calls import Call
from .pick import Pick
from .streamed_body import read_until_deadline

ABORTED_RESPONSE_PENALTY = 2.0


def hold_connection_for_body(
    call: Call,
    pick: Pick,
    response: Response,
    balancer: Balancer,
    clock: Clock,
    log: EventLog,
) -> None:
    """Hold the connection until the rest of a long response has been passed on.

    The ``remaining_body`` of the response is replaced by one that ends at the deadline
    of the call, and releases the connection when it is closed. If the endpoint ends the
    body early, or is the cause that it is late, its health records that.
    """
    source = response.remaining_body
    if source is None:
        raise ValueError("the response has no remaining body to stream")
    endpoint = pick.endpoint
    endpoint.begin_exchange()

    def record_broken_off(detail: str, is_endpoint_late: bool) -> None:
        log.request(
            "response_broken_off",
            True,
            request=call.request_id.decode("latin-1"),
            endpoint=endpoint.announcement.endpoint_id,
            detail=detail,
            endpoint_late=is_endpoint_late,
        )
        if is_endpoint_late:
            endpoint.health.add_penalty(ABORTED_RESPONSE_PENALTY, clock())

    async def close() -> None:
        endpoint.end_exchange()
        await balancer.release(endpoint, pick.connection)

    read = read_until_deadline(call, source, clock, record_broken_off)
    response.remaining_body = BodySource(read, close, source.length)
