"""One caller's connection: requests are read, handled and answered in their order.

A caller may send further requests before the first is answered. Those that may run
beside others do so, up to a bound; their answers still leave in the order of the
requests. After an answer that closes the connection nothing else is read or run.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import h11
from curio import socket

from ..core.clock import add_ms, remaining_ms
from ..core.errors import ErrorKind, RunState
from ..observe.clock import system_clock
from .memory import MemoryBudget
from .messages import BodyError, Request, Response, error_response
from .readiness import is_readable
from .request_reader import RequestError, RequestReader, ServerLimits

Handler = Callable[[Request], Awaitable[Response | None]]
"""Answers a request; None closes the connection without an answer."""

OnRejected = Callable[[ErrorKind, str, str], None]
"""Is told kind, detail and peer of each request that can't reach the handler, or that
ends it with an unexpected error."""

MAX_READ_AHEAD = 8
"""How many requests of one connection may wait for their answers."""

LINGER_MS = 500.0
"""How long a closing connection still takes in what its caller is sending.

A close with unread bytes resets the connection, and the reset may reach the caller
before the answer does."""

MAX_LINGER_BYTES = 4 << 20

RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_STATUS_WITHOUT_BODY = (204, 304)


@dataclass(slots=True)
class Traffic:
    """What all connections of one server share."""

    handler: Handler
    runs_beside_others: Callable[[Request], bool]
    on_rejected: OnRejected
    budget: MemoryBudget
    window_bytes: int
    is_stopping: bool = False
    n_in_flight: int = 0


@dataclass(slots=True, eq=False)
class _Exchange:
    """One request with what is needed to answer it in its turn."""

    parser: h11.Connection
    reader: RequestReader
    request: Request
    task: curio.Task | None = None
    is_answered: curio.Event = field(default_factory=curio.Event)


class CallerConnection:
    """One connection of a caller.

    ``is_busy`` is true from the head of a request until its answer is written.
    """

    def __init__(
        self, client: socket.socket, peer: str, traffic: Traffic, limits: ServerLimits
    ) -> None:
        self._client = client
        self._peer = peer
        self._traffic = traffic
        self._limits = limits
        self._waiting: deque[_Exchange] = deque()
        self._is_reading_request = False
        self._is_closing = False
        self._lingers = False
        self._task: curio.Task | None = None
        self._n_requests = 0
        self._idle_since = system_clock()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read, handled or answered."""
        return self._is_reading_request or bool(self._waiting)

    @property
    def is_new(self) -> bool:
        """Whether no request came yet, though one may be on its way."""
        return self._n_requests == 0

    async def serve(self) -> None:
        """Serve the connection until it ends."""
        self._task = await curio.current_task()
        try:
            async with self._client:
                await self._read_until_the_end()
                while self._waiting and not self._is_closing:
                    await self._waiting[0].is_answered.wait()
                if self._lingers:
                    await self._linger()
        except (OSError, h11.LocalProtocolError):
            return
        finally:
            for exchange in list(self._waiting):
                await self._abandon(exchange)

    async def end_idle(self) -> None:
        """End the connection unless a request is in it or about to be read."""
        if not self.is_busy and not is_readable(self._client.fileno()):
            # Not read any further: a request that crosses the close stays unread, and
            # its caller may send it again.
            self._is_closing = True
            await self._client.shutdown(socket.SHUT_RD)

    # Reading

    async def _read_until_the_end(self) -> None:
        """Read requests until the caller ends the connection, or an answer does."""
        try:
            await self._serve_requests()
            # A cancellation that came while this task was about to run is still due.
            await curio.sleep(0)
        except curio.TaskCancelled:
            # Another task wrote the answer that closes, and ended the reading.
            if not self._is_closing:
                raise

    async def _serve_requests(self) -> None:
        parser = self._new_parser(b"")
        while not self._is_closing:
            reader = RequestReader(
                self._client,
                parser,
                self._limits,
                self._traffic.budget,
                self._traffic.window_bytes,
                self._idle_left_ms,
                self._note_head,
                self._continue_sender(parser),
            )
            try:
                request = await reader.read(self._peer)
            except RequestError as error:
                await reader.release()
                await self._reject(parser, error)
                return
            if request is None or self._is_closing:
                await reader.release()
                return
            exchange = _Exchange(parser, reader, request)
            self._waiting.append(exchange)
            self._is_reading_request = False
            self._n_requests += 1
            self._traffic.n_in_flight += 1
            if not await self._start(exchange):
                return
            parser = self._new_parser(parser.trailing_data[0])

    def _new_parser(self, data: bytes) -> h11.Connection:
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.head_bytes
        )
        if data:
            parser.receive_data(data)
        return parser

    def _idle_left_ms(self) -> float:
        """Return how long the connection may stay idle, all of it while it isn't."""
        limit_ms = self._limits.idle_timeout_ms
        if self._waiting:
            return limit_ms
        return remaining_ms(add_ms(self._idle_since, limit_ms), system_clock())

    def _note_head(self) -> None:
        self._is_reading_request = True

    def _continue_sender(self, parser: h11.Connection) -> Callable[[], Awaitable[None]]:
        async def send_continue() -> None:
            await self._wait_for_turn(None)
            event = h11.InformationalResponse(status_code=100, headers=[])
            await self._client.sendall(parser.send(event) or b"")

        return send_continue

    async def _start(self, exchange: _Exchange) -> bool:
        """Handle a request, now or beside others; return whether to read on."""
        request = exchange.request
        is_last = exchange.parser.their_state is not h11.DONE
        may_overtake = request.read_rest is None and not is_last
        if may_overtake and self._traffic.runs_beside_others(request):
            exchange.task = await curio.spawn(self._answer, exchange, daemon=True)
            while len(self._waiting) >= MAX_READ_AHEAD:
                await self._waiting[0].is_answered.wait()
            return not self._is_closing
        for earlier in list(self._waiting)[:-1]:
            await earlier.is_answered.wait()
        if self._is_closing:
            return False
        await self._answer(exchange)
        return not self._is_closing

    # Answering

    async def _answer(self, exchange: _Exchange) -> None:
        """Handle a request and write its answer when its turn comes."""
        response = await self._handle(exchange.request)
        try:
            await self._wait_for_turn(exchange)
            if not self._is_closing:
                await self._write_in_turn(exchange, response)
        except (OSError, h11.LocalProtocolError):
            await self._end(exchange)
        except BodyError:
            # A reset can't be taken for the end of a whole answer.
            self._client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await self._end(exchange, lingers=False)
        finally:
            if response is not None and response.rest is not None:
                await response.rest.close()

    async def _handle(self, request: Request) -> Response | None:
        """Return the handler's response; an error in it promises nothing.

        Otherwise the task of a request that runs beside others would end unseen, its
        caller would wait in vain, and a planned stop for the request.
        """
        try:
            return await self._traffic.handler(request)
        except Exception as error:
            kind = ErrorKind.INTERNAL_ERROR
            self._traffic.on_rejected(kind, repr(error), self._peer)
            response = error_response(kind)
            response.close = True
            return response

    async def _wait_for_turn(self, exchange: _Exchange | None) -> None:
        """Wait until all requests before this one are answered."""
        while self._waiting and self._waiting[0] is not exchange:
            await self._waiting[0].is_answered.wait()

    async def _write_in_turn(
        self, exchange: _Exchange, response: Response | None
    ) -> None:
        if response is None:
            await self._end(exchange)
            return
        if exchange.request.method == b"HEAD":
            response.body = b""
        is_last = exchange.parser.their_state is not h11.DONE
        has_successor = len(self._waiting) > 1 or self._is_reading_request
        if is_last or (self._traffic.is_stopping and not has_successor):
            response.close = True
        if self._limits.announced_idle_s and not response.close:
            value = b"timeout=%d" % self._limits.announced_idle_s
            response.headers.append((b"keep-alive", value))
        await self._write(exchange.parser, response)
        if response.close or exchange.parser.our_state is not h11.DONE:
            await self._end(exchange)
            return
        await self._finish(exchange)

    async def _finish(self, exchange: _Exchange) -> None:
        """Let the next request have its turn."""
        self._idle_since = system_clock()
        await self._leave_queue(exchange)

    async def _leave_queue(self, exchange: _Exchange) -> None:
        if exchange not in self._waiting:
            return
        self._waiting.remove(exchange)
        self._traffic.n_in_flight -= 1
        await exchange.reader.release()
        await exchange.is_answered.set()

    async def _end(self, exchange: _Exchange, lingers: bool = True) -> None:
        """Close after this request; what stands behind it isn't run any further."""
        self._is_closing = True
        self._lingers = lingers
        if exchange.task is not None and self._task is not None:
            # Ends the reading of further requests. Shutting the receiving half would
            # do so as well, but reset the connection when more bytes come.
            await self._task.cancel(blocking=False)
        for later in list(self._waiting):
            if later is not exchange:
                await self._abandon(later)
        await self._finish(exchange)

    async def _abandon(self, exchange: _Exchange) -> None:
        """Give up a request whose answer nobody can get any more."""
        if exchange.task is not None:
            await exchange.task.cancel(blocking=False)
        await self._leave_queue(exchange)

    async def _reject(self, parser: h11.Connection, error: RequestError) -> None:
        """Answer a request that can't reach the handler, in its turn."""
        self._traffic.on_rejected(error.kind, error.detail, self._peer)
        await self._wait_for_turn(None)
        if self._is_closing:
            return
        # An earlier whole request with the same key may have run.
        state = RunState.OUTCOME_UNKNOWN.value if error.has_key else None
        response = error_response(error.kind, error.detail, run_state=state)
        response.close = True
        self._is_closing = self._lingers = True
        await self._write(parser, response)

    async def _write(self, parser: h11.Connection, response: Response) -> None:
        headers = [*response.headers]
        if response.close:
            headers.append((b"connection", b"close"))
        rest = response.rest
        length = len(response.body) if rest is None else rest.length
        # Without a length the parser sends chunks, or closes for an old caller.
        if response.status not in _STATUS_WITHOUT_BODY and length is not None:
            headers.append((b"content-length", b"%d" % length))
        head = h11.Response(status_code=response.status, headers=headers)
        data = parser.send(head) or b""
        if response.body:
            data += parser.send(h11.Data(data=response.body)) or b""
        while rest is not None:
            await self._client.sendall(data)
            piece = await rest.read()
            if not piece:
                data = b""
                break
            data = parser.send(h11.Data(data=piece)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        await self._client.sendall(data)

    async def _linger(self) -> None:
        """Say that no more answers follow, and take in what is still on its way."""
        await self._client.shutdown(socket.SHUT_WR)
        n_bytes = 0
        async with curio.ignore_after(LINGER_MS / 1000):
            while n_bytes < MAX_LINGER_BYTES:
                data = await self._client.recv(64 * 1024)
                if not data:
                    return
                n_bytes += len(data)
