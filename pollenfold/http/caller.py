"""One caller's connection: reads, handles and responds to pipelined requests.

A caller may send further requests before the first response. Those that allow
concurrency are handled concurrently, up to a bound; responses are always sent in the
order of the requests. After a response that closes the connection, no further request
is read or handled.
"""

from __future__ import annotations

import contextlib
import itertools
import logging
import socket as sockets
from collections import deque
from collections.abc import Callable

import curio
import h11

from ..core.clock import add_ms, remaining_ms
from ..core.errors import ErrorKind
from ..core.send_memory import SEND_BUFFER_BYTES
from ..observe.clock import system_clock
from ..observe.error_text import error_text
from ..observe.steps import is_ended_from_outside
from ..wire.sockets import Socket
from .caller_outputs import KERNEL_FACTOR, NO_LINGER, RESET_ON_CLOSE
from .exchanges import (
    ABANDONED,
    ANSWERED,
    STALLED,
    Exchange,
    SharedState,
    refusal_of_late,
    refusal_of_unread,
)
from .messages import BodyError, Request, Response, error_response
from .request_reader import RequestError, RequestReader, ServerLimits
from .response_writer import RESPONSE_START, linger, write_response
from .socket_state import is_closed_by_peer, is_readable, n_unacknowledged_bytes

MAX_PIPELINED_REQUESTS = 8
"""The most requests of one connection that may be pending at the same time."""

WAITING_FOR_BYTES = "READ_WAIT"
"""Curio's state of a task that waits until a socket is readable."""


_connection_ids = itertools.count(1)

PROBE_WAIT_MS = 400.0
PROBE_POLL_MS = 1.0
"""How long a probe of the caller waits for the acknowledgement, and how often it looks.

Two retransmissions fit into this time."""


class CallerConnection:
    """One connection of a caller.

    ``is_busy`` is true from the head of a request until its response is written.
    """

    def __init__(
        self,
        client: Socket,
        peer: str,
        shared: SharedState,
        limits: Callable[[], ServerLimits],
    ) -> None:
        self._client = client
        self._peer = peer
        self._shared = shared
        self._limits = limits
        self._output = shared.outputs.open(client, peer)
        self._id = next(_connection_ids)
        self._waiting: deque[Exchange] = deque()
        self._is_reading_request = False
        self._is_closing = False
        self._should_linger = False
        self._is_ended = False
        self._is_written = False
        """Whether only bytes that the kernel has are left to send."""

        self._has_sent_start = False
        """Whether ``RESPONSE_START`` of the next response is already sent."""

        self._task: curio.Task | None = None
        self._tasks: set[curio.Task] = set()
        """Those that handle requests concurrently and haven't ended."""

        self._is_body_open = False
        """Whether a body is being written that only the connection's end completes."""

        self._n_requests = 0
        self._idle_since = system_clock()
        self._idle_timeout_ms = limits().idle_timeout_ms

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled, or its response written."""
        return self._is_reading_request or bool(self._waiting)

    @property
    def is_closing(self) -> bool:
        """Whether the last response is being sent, or what follows it taken in."""
        return self._is_closing and not (self._is_written or self._is_ended)

    @property
    def is_new(self) -> bool:
        """Whether no complete request was received yet; one may be in transit."""
        return self._n_requests == 0

    async def serve(self) -> None:
        """Serve the connection until it ends."""
        self._task = await curio.current_task()
        try:
            await self._read_until_closed()
            while self._waiting and not self._is_closing:
                await self._waiting[0].is_done.wait()
            if self._should_linger:
                await linger(self._client)
            if self._should_linger or not self._is_closing:
                self._is_written = True
                await self._output.wait_until_taken()
        except (OSError, h11.LocalProtocolError):
            return
        finally:
            # A cancellation here would leave the socket open.
            async with curio.disable_cancellation():
                await self._end()

    async def cancel(self) -> None:
        """End the connection, whatever it is doing."""
        if self._task is not None:
            await self._task.cancel()

    async def close_if_idle(self) -> None:
        """Close the connection unless a request is pending or bytes are unread.

        The reading task is cancelled only while it waits for bytes, so that it has read
        none of a request that arrives meanwhile: the kernel resets the connection, and
        the caller may safely retry. After shutting down the receiving half, the kernel
        would still deliver what arrives.
        """
        while not (self.is_busy or self._is_closing or self._is_ended):
            if is_readable(self._client.fileno()):
                return
            if self._task is not None and self._task.state == WAITING_FOR_BYTES:
                self._is_closing = True
                await self._task.cancel(blocking=False)
                return
            # The reading task is about to run.
            await curio.sleep(0)

    async def _end(self) -> None:
        """End the tasks of the exchanges, which use the descriptor, then close it."""
        self._is_ended = True
        try:
            for exchange in list(self._waiting):
                await self._cancel_exchange(exchange)
            for task in list(self._tasks):
                await task.cancel()
        finally:
            self._output.forget()
            await self._client.close()

    # Reading

    async def _read_until_closed(self) -> None:
        """Read requests until the caller or a response closes the connection."""
        try:
            await self._serve_requests()
            # Deliver a cancellation that arrived while this task was ready to run.
            await curio.sleep(0)
        except curio.TaskCancelled:
            # Another task wrote the closing response and cancelled the reading.
            if not self._is_closing:
                raise

    async def _serve_requests(self) -> None:
        unread = b""
        while not self._is_closing:
            reader = RequestReader(
                self._client,
                unread,
                self._limits,
                self._shared.budget,
                self._shared.window_bytes,
                self._idle_left_ms,
                self._on_request_head,
                self._send_continue,
            )
            try:
                request = await reader.read(self._peer)
            except RequestError as error:
                await reader.release()
                await self._reject(reader.parser, error)
                return
            except BaseException:
                # The connection was reset, or this task cancelled. The reader belongs
                # to no exchange yet, so nothing else releases its memory.
                await reader.release()
                raise
            if request is None or self._is_closing:
                await reader.release()
                return
            request.connection_id = self._id
            # The first request of a connection was in transit when the server stopped.
            is_late = self._shared.has_stopped and self._n_requests > 0
            exchange = Exchange(reader.parser, reader, request, is_late)
            self._waiting.append(exchange)
            self._is_reading_request = False
            self._n_requests += 1
            self._shared.n_in_flight += 1
            self._shared.counts.n_requests += 1
            if not await self._dispatch(exchange):
                return
            unread = reader.parser.trailing_data[0]

    def _idle_left_ms(self) -> float:
        """Return the remaining idle time, the full timeout if requests are pending."""
        if self._waiting:
            return self._idle_timeout_ms
        idle_until = add_ms(self._idle_since, self._idle_timeout_ms)
        return remaining_ms(idle_until, system_clock())

    def _on_request_head(self) -> None:
        self._is_reading_request = True

    async def _send_continue(self, parser: h11.Connection) -> None:
        await self._wait_for_turn(None)
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self._client.sendall(parser.send(event) or b"")

    async def _dispatch(self, exchange: Exchange) -> bool:
        """Handle a request, inline or concurrently; return whether to read on."""
        request = exchange.request
        is_last = exchange.parser.their_state is not h11.DONE
        can_run_concurrently = request.read_remaining_body is None and not is_last
        if can_run_concurrently and self._shared.allows_concurrency(request):
            exchange.task = await curio.spawn(
                self._run_exchange_task, exchange, daemon=True
            )
            self._tasks.add(exchange.task)
            while len(self._waiting) >= MAX_PIPELINED_REQUESTS:
                await self._waiting[0].is_done.wait()
            return not self._is_closing
        # All but this exchange, which is the last.
        for earlier in list(self._waiting)[:-1]:
            await earlier.is_done.wait()
        if self._is_closing:
            return False
        await self._respond(exchange)
        return not self._is_closing

    async def _run_exchange_task(self, exchange: Exchange) -> None:
        try:
            await self._respond(exchange)
        finally:
            self._tasks.discard(await curio.current_task())

    # Responding

    async def _respond(self, exchange: Exchange) -> None:
        """Handle a request and write its response once all earlier ones are written."""
        if exchange.is_late:
            response: Response | None = refusal_of_late(exchange.request)
        else:
            exchange.request.probe_sender = self._probe_sender
            response = await self._handle(exchange.request)
        n_held_bytes, is_long = _held(response)
        self._output.hold(n_held_bytes, is_long)
        try:
            await self._wait_for_turn(exchange)
            if not self._is_closing:
                await self._send_response(exchange, response)
        except (OSError, h11.LocalProtocolError):
            exchange.end = STALLED if self._output.end else "write_failed"
            await self._close_after(exchange)
        except BodyError:
            exchange.end = "broken_off"
            self._reset_on_close()
            await self._close_after(exchange, should_linger=False)
        except Exception as error:
            # It would end the task of a concurrent request unnoticed: a planned stop
            # would wait for the request, and those behind it get no response.
            exchange.end = "failed"
            kind = ErrorKind.INTERNAL_ERROR
            self._shared.on_rejected(kind, error_text(error), self._peer)
            await self._close_after(exchange, should_linger=False)
        finally:
            self._output.release(n_held_bytes, is_long)
            if response is not None and response.remaining_body is not None:
                await response.remaining_body.close()

    async def _handle(self, request: Request) -> Response | None:
        """Return the handler's response, or an internal error if the handler raises.

        An exception that escaped would end the task of a concurrent request unnoticed:
        its caller would never get a response, and a planned stop would wait for the
        request.
        """
        try:
            return await self._shared.handler(request)
        except (Exception, curio.CancelledError) as error:
            if await is_ended_from_outside(error):
                raise
            kind = ErrorKind.INTERNAL_ERROR
            self._shared.on_rejected(kind, error_text(error), self._peer)
            response = error_response(kind)
            response.close = True
            return response

    async def _probe_sender(self, request: Request) -> bool:
        """Send the start of the response; return whether the caller's VM accepts it.

        A VM on which the connection is closed resets it, and one behind a network
        partition doesn't acknowledge it.
        """
        for exchange in self._waiting:
            if exchange.request is request:
                break
        else:
            return False
        await self._wait_for_turn(exchange)
        if self._is_closing:
            return False
        try:
            if not self._has_sent_start:
                self._has_sent_start = True
                await self._client.sendall(RESPONSE_START)
            return await self._is_all_acknowledged()
        except OSError:
            return False

    async def _is_all_acknowledged(self) -> bool:
        """Wait until the caller's VM has what was sent; False if it closed."""
        descriptor = self._client.fileno()
        deadline = add_ms(system_clock(), PROBE_WAIT_MS)
        while n_unacknowledged_bytes(descriptor):
            if is_closed_by_peer(descriptor) or system_clock() >= deadline:
                return False
            await curio.sleep(PROBE_POLL_MS / 1000)
        return not is_closed_by_peer(descriptor)

    async def _wait_for_turn(self, exchange: Exchange | None) -> None:
        """Wait until the responses to all earlier requests are written."""
        while self._waiting and self._waiting[0] is not exchange:
            await self._waiting[0].is_done.wait()

    async def _send_response(
        self, exchange: Exchange, response: Response | None
    ) -> None:
        if response is None:
            exchange.end = ABANDONED
            await self._close_after(exchange)
            return
        if exchange.request.method == b"HEAD":
            response.body = b""
        is_last = exchange.parser.their_state is not h11.DONE
        if is_last or (self._shared.is_stopping and not self._has_next(exchange)):
            response.close = True
        limits = self._limits()
        # A connection isn't closed before the time that its last response announced.
        self._idle_timeout_ms = limits.idle_timeout_ms
        if limits.announced_idle_s and not response.close:
            value = b"timeout=%d" % limits.announced_idle_s
            response.headers.append((b"keep-alive", value))
        is_long = response.remaining_body is not None
        is_long = is_long or len(response.body) > SEND_BUFFER_BYTES // KERNEL_FACTOR
        if is_long:
            self._output.grow_buffer()
        await self._write_in_time(exchange.parser, response)
        if is_long:
            self._output.set_buffer()
        exchange.end = ANSWERED
        if response.close or exchange.parser.our_state is not h11.DONE:
            await self._close_after(exchange)
            return
        await self._finish(exchange)

    async def _write_in_time(self, parser: h11.Connection, response: Response) -> None:
        """Write a response; raise BodyError if it takes longer than it is needed."""
        if response.send_until is None:
            await self._write(parser, response)
            return
        left_ms = remaining_ms(response.send_until, system_clock())
        try:
            async with curio.timeout_after(left_ms / 1000):
                await self._write(parser, response)
        except curio.TaskTimeout:
            raise BodyError(ErrorKind.DEADLINE_EXCEEDED, "not read") from None

    def _has_next(self, exchange: Exchange) -> bool:
        """Return whether another request was read, in part, or has arrived unread.

        Its caller couldn't know that the response to this one closes the connection.
        """
        return (
            len(self._waiting) > 1
            or self._is_reading_request
            or bool(exchange.parser.trailing_data[0])
            or is_readable(self._client.fileno())
        )

    async def _finish(self, exchange: Exchange) -> None:
        """Let the response to the next request be written."""
        self._idle_since = system_clock()
        await self._dequeue(exchange)

    async def _dequeue(self, exchange: Exchange) -> None:
        if exchange not in self._waiting:
            return
        self._waiting.remove(exchange)
        self._shared.n_in_flight -= 1
        if exchange.end != ANSWERED:
            self._shared.counts.n_unanswered += 1
            self._report_unanswered(exchange)
        await exchange.reader.release()
        await exchange.is_done.set()

    def _report_unanswered(self, exchange: Exchange) -> None:
        """Report a request; those behind it must go on if the report fails."""
        try:
            self._shared.on_unanswered(exchange.request, exchange.end)
        except Exception as error:
            text = "event=report_failed reason=%s detail=%r"
            logging.getLogger(__name__).error(text, exchange.end, error)

    async def _close_after(
        self, exchange: Exchange, should_linger: bool = True
    ) -> None:
        """Close the connection after this request and cancel all later ones."""
        self._is_closing = True
        # Lingering shuts down the sending half, as the end of a complete body does.
        self._should_linger = should_linger and not self._is_body_open
        if exchange.task is not None and self._task is not None:
            # Stops reading further requests. Shutting down the receiving half would do
            # so as well, but would reset the connection when more bytes arrive.
            await self._task.cancel(blocking=False)
        for later in list(self._waiting):
            if later is not exchange:
                later.end = "behind_last_response"
                await self._cancel_exchange(later)
        await self._finish(exchange)

    async def _cancel_exchange(self, exchange: Exchange) -> None:
        """Cancel a request whose response can't be delivered any more."""
        if exchange.task is not None:
            await exchange.task.cancel(blocking=False)
        await self._dequeue(exchange)

    async def _reject(self, parser: h11.Connection, error: RequestError) -> None:
        """Send the error response for a request that can't reach the handler."""
        self._shared.on_rejected(error.kind, error.detail, self._peer)
        await self._wait_for_turn(None)
        if self._is_closing:
            return
        self._is_closing = self._should_linger = True
        await self._write(parser, refusal_of_unread(error))

    async def _write(self, parser: h11.Connection, response: Response) -> None:
        has_sent_start, self._has_sent_start = self._has_sent_start, False
        if not _ends_with_connection(parser, response):
            await write_response(self._client, parser, response, has_sent_start)
            return
        # Set from the start, so that it holds also if this process is killed.
        self._is_body_open = True
        self._reset_on_close()
        await write_response(self._client, parser, response, has_sent_start)
        self._is_body_open = False
        self._reset_on_close(False)

    def _reset_on_close(self, is_reset: bool = True) -> None:
        """Let the close reset the connection, or no longer.

        The caller can't mistake a reset for the end of a complete response.
        """
        value = RESET_ON_CLOSE if is_reset else NO_LINGER
        with contextlib.suppress(OSError):
            self._client.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, value)


def _ends_with_connection(parser: h11.Connection, response: Response) -> bool:
    """Return whether only the end of the connection ends the body of a response."""
    body = response.remaining_body
    is_chunked = parser.their_http_version == b"1.1"
    return body is not None and body.length is None and not is_chunked


def _held(response: Response | None) -> tuple[int, bool]:
    """Return how long the body is, and whether it is a long one.

    The memory of a long one is reserved, or it is still arriving.
    """
    if response is None:
        return 0, False
    is_long = response.reservation is not None or response.remaining_body is not None
    return len(response.body), is_long
