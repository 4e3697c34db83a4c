"""Requests of a day with planned work, and which of them count as lost.

A request is lost if a server ran it, or if its connection ended later than
``LOSS_SLACK_S`` after its last byte, and its caller got no complete response although
neither the timeout of its route nor its own deadline had passed. A response of the
entry's own, in place of one that a server is working on, counts as none after SIGTERM.
"""

from __future__ import annotations

import random
import subprocess
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

import curio

from benchmarks.soak import CALLER_PORT, Program
from benchmarks.soak_backends import SoakBackend
from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Request, Response

LOSS_SLACK_S = 0.2
TIMEOUT_SLACK_S = 0.1
"""A request that ends so shortly before its timeout may have ended because of it."""

MAX_SENT_AFTER_STOP_S = 3.0
"""Requests that are sent later after SIGTERM needn't be answered."""

MAX_ENDED_AFTER_STOP_S = 7.0
"""One second after the grace period, a connection may end at any time."""

DEADLINE_MS = 4_000
WAIT_MS = 5_000.0
CONNECT_LIMIT_S = 0.5
TIMEOUTS_MS = {"safe-a": 1_200, "safe-b": 1_500, "unsafe-a": 2_500, "unsafe-b": 1_000}
BODY_SIZES = (0, 0, 2_000, 40_000)
MAX_WORK_S = 0.25
N_SLOTS = 6
HANG_S = 6.0


class WorkingBackend(SoakBackend):
    """A server that works on each request for a while and may hang when it is full."""

    hangs_when_full = False

    async def _handle(self, request: Request) -> Response | None:
        if request.path == "/healthz":
            return await super()._handle(request)
        if self.hangs_when_full and self._n_running >= N_SLOTS:
            await curio.sleep(HANG_S)
            return None
        self._n_running += 1
        try:
            response = await super()._handle(request)
            if response is not None and response.status == 200:
                await curio.sleep(random.uniform(0.0, MAX_WORK_S))
        finally:
            self._n_running -= 1
        return response


@dataclass(slots=True)
class Life:
    """One process of an entry, with where its log begins."""

    program: Program
    process: subprocess.Popen[bytes]
    log_start: int
    stopped_at: float = float("inf")
    """When it was sent its first SIGTERM, on the monotonic clock."""

    log_end: int | None = None
    """Where the log of its successor begins."""

    def log_lines(self) -> list[str]:
        """Return what the process logged."""
        with (self.program.folder / "log").open("rb") as log:
            log.seek(self.log_start)
            size = -1 if self.log_end is None else self.log_end - self.log_start
            return log.read(size).decode(errors="replace").splitlines()


@dataclass(slots=True)
class Unanswered:
    """A request whose caller got no complete response, or an error of the entry."""

    request_id: str
    kind: str
    life: Life
    sent_at: float
    waited_s: float
    seen: str
    is_response: bool


@dataclass(slots=True)
class Requests:
    """Counts of what callers sent, and what they got no response of a server to."""

    n_sent: int = 0
    n_served: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    unanswered: list[Unanswered] = field(default_factory=list)

    async def send(
        self, connection: HttpConnection, rng: random.Random, name: str, life: Life
    ) -> bool:
        """Send a request; return whether the connection can be used again."""
        kind = rng.choice(list(TIMEOUTS_MS))
        is_safe = kind.startswith("safe")
        body = b"" if is_safe else b"x" * rng.choice(BODY_SIZES)
        self.n_sent += 1
        request_id = f"{kind}-{name}-{self.n_sent}"
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", request_id.encode()),
            (b"x-deadline-ms", b"%d" % DEADLINE_MS),
        ]
        method = b"GET" if is_safe else b"POST"
        path = f"/{kind}/{request_id}".encode()
        n_before = connection.n_exchanges
        failure = await connection.send(method, path, headers, body)
        sent_at = time.monotonic()
        status = 0
        if failure is None:
            result = await connection.receive(WAIT_MS)
            if result.is_ok():
                status = result.ok.status
            else:
                failure = result.error
        if status:
            self.statuses[status] = self.statuses.get(status, 0) + 1
        if status == 200:
            self.n_served += 1
            return connection.is_reusable
        what = f"status {status}" if failure is None else failure.value
        seen = f"{what}, request {n_before + 1} of its connection, {len(body)} bytes"
        waited_s = time.monotonic() - sent_at
        self.unanswered.append(
            Unanswered(request_id, kind, life, sent_at, waited_s, seen, bool(status))
        )
        return bool(status) and connection.is_reusable

    def cases(self, ran: Collection[str]) -> list[str]:
        """Return the requests that were lost, each with what was seen."""
        cases = []
        for request in self.unanswered:
            if is_lost(request, request.request_id in ran):
                has_run = "ran" if request.request_id in ran else "didn't run"
                cases.append(
                    f"{request.life.program.name} {request.request_id} ({has_run}): "
                    f"{request.seen}, after {request.waited_s:.3f} s, "
                    f"{describe_life(request)}"
                )
        return cases


def is_lost(request: Unanswered, has_run: bool) -> bool:
    """Return whether a request without a response of a server counts as lost."""
    timeout_s = TIMEOUTS_MS[request.kind] / 1000
    stopped_at = request.life.stopped_at
    if request.waited_s > timeout_s - TIMEOUT_SLACK_S:
        return False
    if request.sent_at > stopped_at + MAX_SENT_AFTER_STOP_S:
        return False
    ended_at = request.sent_at + request.waited_s
    if ended_at > stopped_at + MAX_ENDED_AFTER_STOP_S:
        return False
    if request.is_response:
        return has_run and ended_at > stopped_at
    return has_run or request.waited_s > LOSS_SLACK_S


def describe_life(request: Unanswered) -> str:
    """Return what the entry logged of a request and of its own end."""
    life = request.life
    since_stop_s = request.sent_at - life.stopped_at
    texts = [f"sent {since_stop_s:+.3f} s after SIGTERM"]
    texts.append(f"exit status {life.process.poll()}")
    words = ("event=stopping", "event=stopped", "daemon_failed", "Error")
    for line in life.log_lines():
        if request.request_id in line or any(word in line for word in words):
            texts.append(line.partition("event=")[2] or line)
    return "; ".join(texts[:8])


async def connect(program: Program) -> HttpConnection | None:
    """Open a connection to an entry; None if it accepts none."""
    try:
        async with curio.timeout_after(CONNECT_LIMIT_S):
            return await HttpConnection.open(program.host, CALLER_PORT)
    except (OSError, curio.TaskTimeout):
        return None


def copy_logs(folder: Path, target: Path, cases: list[str]) -> None:
    """Keep the logs of all processes, and the cases of their run."""
    for log in folder.glob("*/log"):
        copy = target / f"{log.parent.name}.log"
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_bytes(log.read_bytes())
    (target / "cases").write_text("\n".join(cases) + "\n")
