"""Fake backend server with execution slots, a queue, cold start and fault injection.

``python -m pollenfold.testing.backend_server --service pearl-market --zone a
--entries 127.0.0.1:7001`` serves requests for work on every path except
``/healthz``, ``/load`` and ``/stand-in/``.
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
from .backend_settings import BackendSettings
from .counts import Counts
from .fault_http import DamagedResponse, FaultServer, caller_closed_within
from .faults import Action, FaultKind, FaultRule, FaultTable, FaultUpdate
from .response_bodies import encode_response_body

NOT_STARTED = (b"pollenfold-not-started", b"true")
EXCHANGE_ID = b"pollenfold-exchange-id"

DAMAGED_RESPONSE_KINDS = (
    FaultKind.TRUNCATED_ANSWER,
    FaultKind.OVERLONG_ANSWER,
    FaultKind.DUPLICATED_ANSWER,
)

NO_TIMEOUT_MS = 86_400_000.0

Faults = dict[FaultKind, FaultRule]

LOAD = b"pollenfold-load"
LOAD_WANTED = b"pollenfold-load-wanted"


class BackendServer:
    """Fake backend server; ``start`` returns its port, ``counts`` holds its counters.

    For example, a test creates one with
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
            settings.entries,
            settings.announce_every_ms,
            self._announcement,
            self.counts,
        )
        self._announcer_task: curio.Task | None = None

    async def start(self) -> int:
        """Start listening and announcing; return the port."""
        settings = self.settings
        if settings.run_log is not None:
            self.counts.run_log = open(settings.run_log, "ab", buffering=0)
        self.port = await self._server.start(settings.host, settings.port)
        if settings.entries:
            self._announcer_task = await curio.spawn(self._announcer.run, daemon=True)
        return self.port

    async def drain(self) -> None:
        """Announce ``leaving`` and refuse new requests; requests in flight continue."""
        if not self.leaving:
            self.leaving = True
            self._leaving_since = system_clock()
        await self._announcer.announce()

    async def stop(self) -> None:
        """Complete the requests in flight and close."""
        if self._announcer_task is not None:
            await self._announcer_task.cancel()
        await self._server.stop()
        await self._server.wait_idle()
        if self.counts.run_log is not None:
            self.counts.run_log.close()

    async def update_faults(self, update: FaultUpdate) -> None:
        """Replace the fault table, if given, and carry out the actions."""
        if update.faults is not None:
            self._faults = FaultTable(update.faults, update.seed)
            self._load_history.clear()
        for action in update.actions:
            if action is Action.DRAIN:
                await self.drain()
                continue
            if action is Action.SERVE:
                self.leaving = False
                self.incarnation += 1
            self.cold = True
            self._n_served_cold = 0
            self.counts.greatest_in_flight_cold = self.n_in_flight

    def _announcement(self) -> dict[str, Any]:
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
            response = self._probe_response(path)
            self.counts.record_probe(
                _approximate_size(request) + _approximate_size(response)
            )
            return response
        if path == "/stand-in/counts":
            state = {"cold": self.cold, "in_flight": self.n_in_flight}
            return json_response(
                200, {**self._announcement(), **state, **self.counts.as_json()}
            )
        if path == "/stand-in/faults":
            try:
                update = FaultUpdate.model_validate_json(request.body)
            except ValidationError as error:
                return json_response(400, {"error": str(error)})
            await self.update_faults(update)
            return json_response(200, {})
        response = await self._admit(request, self._faults.faults_of_next_request(path))
        if response is not None:
            self._strip_unrequested_report(request, response)
        exchange_id = request.header(EXCHANGE_ID)
        if response is not None and exchange_id is not None:
            response.headers.append((EXCHANGE_ID, exchange_id))
        return response

    def _probe_response(self, path: str) -> Response:
        if path == "/load":
            in_flight, cold = self._load()
            load = {"in_flight": in_flight, "slots": self.settings.slots, "cold": cold}
            return json_response(200, load)
        unhealthy = self.leaving or self._faults.report_rule(FaultKind.UNHEALTHY)
        return Response(503 if unhealthy else 200, [])

    def _load(self, n_excluded: int = 0) -> tuple[int, bool]:
        """Return the requests in flight and whether the server is cold, as reported.

        ``n_excluded`` is subtracted from the requests in flight, as a response leaves
        its own request out of its load report.
        """
        misleading = self._faults.report_rule(FaultKind.MISLEADING_LOAD)
        if misleading is not None:
            return misleading.value, False
        stale = self._faults.report_rule(FaultKind.STALE_LOAD)
        if stale is not None:
            reported_at = system_clock() - stale.delay_ms
            history = [n for at, n in self._load_history if at <= reported_at]
            return (history[-1] if history else 0), self.cold
        return max(0, self.n_in_flight - n_excluded), self.cold

    def _count_in_flight(self, change: int) -> None:
        self.n_in_flight += change
        self.counts.greatest_in_flight = max(
            self.counts.greatest_in_flight, self.n_in_flight
        )
        if self.cold:
            self.counts.greatest_in_flight_cold = max(
                self.counts.greatest_in_flight_cold, self.n_in_flight
            )
        if self._faults.report_rule(FaultKind.STALE_LOAD):
            self._load_history.append((system_clock(), self.n_in_flight))

    async def _admit(self, request: Request, faults: Faults) -> Response | None:
        """Refuse the request, or execute it in a slot."""
        self.counts.record_request()
        if self.leaving:
            self.counts.last_received_after_leaving_ms = (
                system_clock() - self._leaving_since
            )
        limit = self.settings.slots + self.settings.queue_limit
        if self.leaving or self.n_in_flight >= limit or FaultKind.SHED in faults:
            self.counts.n_refused += 1
            return self._work_response(503, [NOT_STARTED, (b"retry-after", b"1")])
        if FaultKind.FAIL_FAST in faults:
            self.counts.n_failed += 1
            return self._work_response(500, [])
        if FaultKind.CLOSE_BEFORE_RUN in faults:
            return None
        overloaded = self.cold and self.n_in_flight >= self.settings.cold_slots
        if overloaded:
            self.counts.n_overload_violations += 1
            if self.settings.cold_overload == "fail":
                self.counts.n_failed += 1
                return self._work_response(500, [])
        self._count_in_flight(1)
        try:
            return await self._execute(request, faults, overloaded)
        finally:
            self._count_in_flight(-1)

    async def _execute(
        self, request: Request, faults: Faults, overloaded: bool
    ) -> Response | None:
        deadline = _deadline(request)
        is_queued = self._slots.locked()
        if not await self._acquire_slot(deadline):
            self.counts.n_stopped_by_deadline += 1
            return self._work_response(504, [NOT_STARTED])
        self._n_working += 1
        self.counts.greatest_working = max(
            self.counts.greatest_working, self._n_working
        )
        try:
            if is_queued and await caller_closed_within(request, 0):
                self.counts.n_stopped_by_caller += 1
                return None
            request_id = _header_text(request, b"x-request-id")
            key = _header_text(request, b"idempotency-key")
            n_runs = self.counts.record_execution(request_id, key)
            duration_ms = self._duration_ms(faults, overloaded)
            left_ms = deadline - system_clock()
            if FaultKind.HANG in faults:
                await caller_closed_within(request, NO_TIMEOUT_MS)
                return None
            if duration_ms and await caller_closed_within(
                request, min(duration_ms, left_ms)
            ):
                self.counts.n_stopped_by_caller += 1
                return None
            if duration_ms > left_ms:
                self.counts.n_stopped_by_deadline += 1
                return self._work_response(504, [])
        finally:
            self._n_working -= 1
            await self._slots.release()
        return await self._complete(request, key, n_runs, faults)

    async def _acquire_slot(self, deadline: float) -> bool:
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
        """Return the response to an executed request, with its faults applied."""
        self.counts.n_completed += 1
        if self.cold:
            self._n_served_cold += 1
            self.cold = self._n_served_cold < self.settings.warm_after
        if FaultKind.CLOSE_AFTER_RUN in faults:
            return None
        late_rule = faults.get(FaultKind.LATE_ANSWER)
        if late_rule is not None:
            await curio.sleep(late_rule.delay_ms / 1000)
        request_id = _header_text(request, b"x-request-id")
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
        body = encode_response_body(fields, self.settings.answer_bytes)
        response = self._work_response(
            200, [(b"x-request-id", request_id.encode())], body
        )
        for kind in DAMAGED_RESPONSE_KINDS:
            if kind in faults:
                delay_ms = faults[kind].delay_ms
                return DamagedResponse(
                    200, response.headers, body, kind=kind, delay_ms=delay_ms
                )
        return response

    def _work_response(
        self, status: int, headers: Headers, body: bytes = b""
    ) -> Response:
        in_flight, cold = self._load(n_excluded=1)
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

    def _strip_unrequested_report(self, request: Request, response: Response) -> None:
        """Remove the load report of a response unless the request asked for it."""
        load = find_header(response.headers, LOAD)
        if load is None:
            return
        if request.header(LOAD_WANTED) == b"1":
            n_wanted_bytes = len(LOAD_WANTED) + len(b"1") + 4
            self.counts.n_report_bytes += n_wanted_bytes + len(LOAD) + len(load) + 4
        else:
            response.headers.remove((LOAD, load))


def _deadline(request: Request) -> float:
    """Return the time at which the caller stops waiting for the response."""
    value = request.header(b"pollenfold-timeout-ms")
    try:
        timeout_ms = float(value) if value is not None else NO_TIMEOUT_MS
    except ValueError:
        timeout_ms = NO_TIMEOUT_MS
    return system_clock() + timeout_ms


def _header_text(request: Request, name: bytes) -> str:
    return (request.header(name) or b"").decode("latin-1")


def _approximate_size(message: Request | Response) -> int:
    """Return the approximate size of a message on the wire, without its first line."""
    return len(message.body) + sum(len(k) + len(v) + 4 for k, v in message.headers)


async def run_until_terminated(settings: BackendSettings) -> None:
    """Serve until SIGTERM, then drain, linger for ``linger_ms`` and stop."""
    wakeup_writer, wakeup_reader = socket.socketpair()
    wakeup_writer.setblocking(False)
    signal.set_wakeup_fd(wakeup_writer.fileno())
    signal.signal(signal.SIGTERM, lambda number, frame: None)
    server = BackendServer(settings)
    port = await server.start()
    logger.info("event=listening host={} port={}", settings.host, port)
    await wakeup_reader.recv(1)
    logger.info("event=leaving in_flight={}", server.n_in_flight)
    await server.drain()
    await curio.sleep(settings.linger_ms / 1000)
    await server.stop()
    logger.info("event=stopped")


def main() -> int:
    """Run the server with settings from the command line."""
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
