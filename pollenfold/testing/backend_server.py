"""A small fake backend server with slots, a queue, cold start and faults.

``python -m pollenfold.testing.backend_server --service pearl-market --zone a
--entries 127.0.0.1:7001`` serves work under every path except ``/healthz``,
``/load`` and ``/stand-in/``.
"""

from __future__ import annotations

import random
import signal
import sys
import time
from collections import deque
from typing import Any

import curio
import xxhash
from curio import socket
from loguru import logger
from pydantic import ValidationError
from pydantic_settings import SettingsError

from ..http.messages import Headers, Request, Response, find_header, json_response
from ..observe.clock import system_clock
from ..observe.logs import configure_logs
from .announcer import Announcer
from .answers import encode_answer
from .backend_settings import BackendSettings
from .counts import Counts
from .fault_http import DamagedResponse, FaultServer, closed_within
from .faults import Action, FaultKind, FaultOrder, FaultRule, FaultTable

NOT_STARTED = (b"pollenfold-not-started", b"true")
EXCHANGE_ID = b"pollenfold-exchange-id"

DAMAGE_KINDS = (
    FaultKind.TRUNCATED_ANSWER,
    FaultKind.OVERLONG_ANSWER,
    FaultKind.DUPLICATED_ANSWER,
)

FOREVER_MS = 86_400_000.0

Faults = dict[FaultKind, FaultRule]

LOAD = b"pollenfold-load"
LOAD_WANTED = b"pollenfold-load-wanted"


class BackendServer:
    """The fake backend server; ``start`` returns its port.

    ``counts`` holds what it counted. For example, a test starts one with
    ``BackendServer(BackendSettings(service_ms=0))``.
    """

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings
        self.counts = Counts()
        self.incarnation = settings.incarnation or int(time.time() * 1000)
        self.leaving = False
        self.cold = settings.starts_cold
        self.n_in_flight = 0
        self.port = 0
        self._n_working = 0
        self._n_served_cold = 0
        self._leaving_since = 0.0
        self._slots = curio.Semaphore(settings.slots)
        self._rng = random.Random(settings.seed)
        self._faults = FaultTable([], settings.seed)
        self._load_history: deque[tuple[float, int]] = deque(maxlen=100_000)
        self._server = FaultServer(self._handle)
        self._announcer = Announcer(
            settings.entries, settings.announce_every_ms, self._describe, self.counts
        )
        self._announcing: curio.Task | None = None

    async def start(self) -> int:
        """Listen, announce, and return the port."""
        settings = self.settings
        if settings.run_log is not None:
            self.counts.run_log = open(settings.run_log, "ab", buffering=0)
        self.port = await self._server.start(settings.host, settings.port)
        if settings.entries:
            self._announcing = await curio.spawn(self._announcer.run, daemon=True)
        return self.port

    async def drain(self) -> None:
        """Announce ``leaving`` and refuse new work; work in flight goes on."""
        if not self.leaving:
            self.leaving = True
            self._leaving_since = system_clock()
        await self._announcer.announce()

    async def stop(self) -> None:
        """Finish the work in flight and close."""
        if self._announcing is not None:
            await self._announcing.cancel()
        await self._server.stop()
        await self._server.wait_idle()
        if self.counts.run_log is not None:
            self.counts.run_log.close()

    async def order(self, order: FaultOrder) -> None:
        """Replace the fault table and take the actions of the order."""
        if order.faults is not None:
            self._faults = FaultTable(order.faults, order.seed)
            self._load_history.clear()
        for action in order.actions:
            if action is Action.DRAIN:
                await self.drain()
                continue
            if action is Action.SERVE:
                self.leaving = False
                self.incarnation += 1
            self.cold = True
            self._n_served_cold = 0
            self.counts.greatest_in_flight_cold = self.n_in_flight

    def _describe(self) -> dict[str, Any]:
        settings = self.settings
        return {
            "service": settings.service,
            "host": settings.host,
            "port": self.port,
            "zone": settings.zone,
            "incarnation": self.incarnation,
            "ttl_ms": settings.ttl_ms,
            "slots": settings.slots,
            "connections": settings.connections,
            "state": "leaving" if self.leaving else "serving",
        }

    async def _handle(self, request: Request) -> Response | None:
        path = request.path
        if path == "/healthz" or path == "/load":
            response = self._probe(path)
            self.counts.probe(_size_bytes(request) + _size_bytes(response))
            return response
        if path == "/stand-in/counts":
            state = {"cold": self.cold, "in_flight": self.n_in_flight}
            return json_response(
                200, {**self._describe(), **state, **self.counts.as_json()}
            )
        if path == "/stand-in/faults":
            try:
                order = FaultOrder.model_validate_json(request.body)
            except ValidationError as error:
                return json_response(400, {"error": str(error)})
            await self.order(order)
            return json_response(200, {})
        response = await self._work(request, self._faults.pick(path))
        if response is not None:
            self._report_when_wanted(request, response)
        exchange_id = request.header(EXCHANGE_ID)
        if response is not None and exchange_id is not None:
            response.headers.append((EXCHANGE_ID, exchange_id))
        return response

    def _probe(self, path: str) -> Response:
        if path == "/load":
            in_flight, cold = self._load()
            load = {"in_flight": in_flight, "slots": self.settings.slots, "cold": cold}
            return json_response(200, load)
        unhealthy = self.leaving or self._faults.standing(FaultKind.UNHEALTHY)
        return Response(503 if unhealthy else 200, [])

    def _load(self, n_own: int = 0) -> tuple[int, bool]:
        """Return the requests in flight and the coldness as reports state them.

        ``n_own`` is left out of the count: the request that the report answers.
        """
        misleading = self._faults.standing(FaultKind.MISLEADING_LOAD)
        if misleading is not None:
            return misleading.value, False
        stale = self._faults.standing(FaultKind.STALE_LOAD)
        if stale is not None:
            then = system_clock() - stale.delay_ms
            known = [n for at, n in self._load_history if at <= then]
            return (known[-1] if known else 0), self.cold
        return max(0, self.n_in_flight - n_own), self.cold

    def _count_in_flight(self, change: int) -> None:
        self.n_in_flight += change
        self.counts.greatest_in_flight = max(
            self.counts.greatest_in_flight, self.n_in_flight
        )
        if self.cold:
            self.counts.greatest_in_flight_cold = max(
                self.counts.greatest_in_flight_cold, self.n_in_flight
            )
        if self._faults.standing(FaultKind.STALE_LOAD):
            self._load_history.append((system_clock(), self.n_in_flight))

    async def _work(self, request: Request, faults: Faults) -> Response | None:
        """Refuse the request, or run it in a slot."""
        self.counts.receive()
        if self.leaving:
            self.counts.last_received_after_leaving_ms = (
                system_clock() - self._leaving_since
            )
        limit = self.settings.slots + self.settings.queue_limit
        if self.leaving or self.n_in_flight >= limit or FaultKind.SHED in faults:
            self.counts.n_refused += 1
            return self._answer(503, [NOT_STARTED, (b"retry-after", b"1")])
        if FaultKind.FAIL_FAST in faults:
            self.counts.n_failed += 1
            return self._answer(500, [])
        if FaultKind.CLOSE_BEFORE_RUN in faults:
            return None
        overloaded = self.cold and self.n_in_flight >= self.settings.cold_slots
        if overloaded:
            self.counts.n_overload_violations += 1
            if self.settings.cold_overload == "fail":
                self.counts.n_failed += 1
                return self._answer(500, [])
        self._count_in_flight(1)
        try:
            return await self._run(request, faults, overloaded)
        finally:
            self._count_in_flight(-1)

    async def _run(
        self, request: Request, faults: Faults, overloaded: bool
    ) -> Response | None:
        deadline = _deadline(request)
        is_queued = self._slots.locked()
        if not await self._take_slot(deadline):
            self.counts.n_stopped_by_deadline += 1
            return self._answer(504, [NOT_STARTED])
        self._n_working += 1
        self.counts.greatest_working = max(
            self.counts.greatest_working, self._n_working
        )
        try:
            if is_queued and await closed_within(request, 0):
                self.counts.n_stopped_by_caller += 1
                return None
            request_id = _text(request, b"x-request-id")
            key = _text(request, b"idempotency-key")
            n_runs = self.counts.run(request_id, key)
            duration_ms = self._duration_ms(faults, overloaded)
            left_ms = deadline - system_clock()
            if FaultKind.HANG in faults:
                await closed_within(request, FOREVER_MS)
                return None
            if duration_ms and await closed_within(request, min(duration_ms, left_ms)):
                self.counts.n_stopped_by_caller += 1
                return None
            if duration_ms > left_ms:
                self.counts.n_stopped_by_deadline += 1
                return self._answer(504, [])
        finally:
            self._n_working -= 1
            await self._slots.release()
        return await self._complete(request, key, n_runs, faults)

    async def _take_slot(self, deadline: float) -> bool:
        if not self._slots.locked():
            return await self._slots.acquire()
        async with curio.ignore_after(max(0, deadline - system_clock()) / 1000):
            return await self._slots.acquire()
        return False

    def _duration_ms(self, faults: Faults, overloaded: bool) -> float:
        settings = self.settings
        jitter = self._rng.lognormvariate(0, settings.jitter_sigma)
        duration_ms = settings.service_ms * jitter
        if overloaded:
            duration_ms *= settings.cold_slow_factor
        slow = faults.get(FaultKind.SLOW)
        if slow is not None:
            duration_ms = duration_ms * slow.factor + slow.delay_ms
        return duration_ms

    async def _complete(
        self, request: Request, key: str, n_runs: int, faults: Faults
    ) -> Response | None:
        """Return the answer to work that is done, as the faults have it."""
        self.counts.n_completed += 1
        if self.cold:
            self._n_served_cold += 1
            self.cold = self._n_served_cold < self.settings.warm_after
        if FaultKind.CLOSE_AFTER_RUN in faults:
            return None
        late = faults.get(FaultKind.LATE_ANSWER)
        if late is not None:
            await curio.sleep(late.delay_ms / 1000)
        request_id = _text(request, b"x-request-id")
        fields = {
            "server": f"{self.settings.host}:{self.port}",
            "zone": self.settings.zone,
            "incarnation": self.incarnation,
            "path": request.path,
            "request_id": request_id,
            "key": key,
            "n_runs": n_runs,
            "request_digest": xxhash.xxh64_hexdigest(request.body),
        }
        body = encode_answer(fields, self.settings.answer_bytes)
        answer = self._answer(200, [(b"x-request-id", request_id.encode())], body)
        for kind in DAMAGE_KINDS:
            if kind in faults:
                delay_ms = faults[kind].delay_ms
                return DamagedResponse(
                    200, answer.headers, body, kind=kind, delay_ms=delay_ms
                )
        return answer

    def _answer(self, status: int, headers: Headers, body: bytes = b"") -> Response:
        in_flight, cold = self._load(n_own=1)
        load = f"in_flight={in_flight};slots={self.settings.slots};cold={int(cold)}"
        return Response(
            status,
            [
                (b"content-type", b"application/json"),
                (LOAD, load.encode()),
                *headers,
            ],
            body,
        )

    def _report_when_wanted(self, request: Request, response: Response) -> None:
        """Keep the load report of a response only when the request asks for it."""
        load = find_header(response.headers, LOAD)
        if load is None:
            return
        if request.header(LOAD_WANTED) == b"1":
            n_wanted_bytes = len(LOAD_WANTED) + len(b"1") + 4
            self.counts.n_report_bytes += n_wanted_bytes + len(LOAD) + len(load) + 4
        else:
            response.headers.remove((LOAD, load))


def _deadline(request: Request) -> float:
    """Return the instant until which the caller waits."""
    value = request.header(b"pollenfold-timeout-ms")
    try:
        timeout_ms = float(value) if value is not None else FOREVER_MS
    except ValueError:
        timeout_ms = FOREVER_MS
    return system_clock() + timeout_ms


def _text(request: Request, name: bytes) -> str:
    return (request.header(name) or b"").decode("latin-1")


def _size_bytes(message: Request | Response) -> int:
    """Return about how many bytes a message takes on a connection."""
    return len(message.body) + sum(len(k) + len(v) + 4 for k, v in message.headers)


async def run_until_terminated(settings: BackendSettings) -> None:
    """Serve until SIGTERM, then leave: refuse new work, finish, and return."""
    waker, wakened = socket.socketpair()
    waker.setblocking(False)
    signal.set_wakeup_fd(waker.fileno())
    signal.signal(signal.SIGTERM, lambda number, frame: None)
    server = BackendServer(settings)
    port = await server.start()
    logger.info("event=listening host={} port={}", settings.host, port)
    await wakened.recv(1)
    logger.info("event=leaving in_flight={}", server.n_in_flight)
    await server.drain()
    await curio.sleep(settings.linger_ms / 1000)
    await server.stop()
    logger.info("event=stopped")


def main() -> int:
    """Run the server with the flags of the command line."""
    try:
        settings = BackendSettings(
            _cli_parse_args=True,  # type: ignore[call-arg]
            _cli_prog_name="backend_server",
        )
    except (ValidationError, SettingsError) as error:
        print("invalid settings: " + " ".join(str(error).split()), file=sys.stderr)
        return 2
    configure_logs("backend_server")
    curio.run(run_until_terminated, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
