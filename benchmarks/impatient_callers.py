"""Callers of one service in a process of their own; counts go to standard output.

    python -m benchmarks.impatient_callers --service mixed --entries 127.20.1.50 \\
        --callers 160 --seconds 10 --seed 1

They keep their connections, send GET and POST in turn and give up after a time. Some
read slowly, stop reading after the head, or leave in the middle.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from dataclasses import asdict, dataclass, field
from enum import Enum

import curio
import h11
from curio import socket

from benchmarks.faulty_responses import signature_of
from benchmarks.soak import CALLER_PORT

GIVE_UP_S = 3.0
ROUTE_TIMEOUT_MS = 2_000
LATE_SLACK_S = 0.5
"""How much later than its route's timeout the head of a response may come. The callers
share the cores with what they call."""

CROSSED_S = 0.2
"""A request on a kept connection that ends so soon without a byte may have crossed the
entry's close."""

CONNECT_LIMIT_S = 1.0
CONNECT_PAUSE_S = 0.1
READ_BYTES = 64 * 1024
SLOW_READ_BYTES = 4 * 1024
SLOW_PAUSE_S = 0.05
MAX_PARSED_BYTES = 64 * 1024
"""No sound response is so long; what follows is read and dropped."""

BODY_SIZES = (0, 200, 2_000, 40_000)


class Manner(Enum):
    """How a caller reads a response."""

    PATIENT = "patient"
    SLOW = "slow"
    STOPS = "stops"
    """Reads nothing after the head."""

    LEAVES = "leaves"
    """Closes the connection in the middle."""


MANNERS = (*[Manner.PATIENT] * 7, Manner.SLOW, Manner.STOPS, Manner.LEAVES)


@dataclass(slots=True)
class Counts:
    """How the requests of all callers of a service ended."""

    n_sent: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    """Counts the heads of responses."""

    n_served: int = 0
    """Complete signed responses."""

    n_incomplete: int = 0
    """Responses whose body had no end by the time the caller gave up, or broke off."""

    n_late: int = 0
    n_unanswered: int = 0
    """No head came until the caller gave up."""

    n_closed: int = 0
    """The connection ended before a head."""

    n_crossed: int = 0
    n_left: int = 0
    n_unconnected: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    """Of the complete responses."""

    def record_head(self, status: int, waited_s: float) -> None:
        """Count the head of a response."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if waited_s > ROUTE_TIMEOUT_MS / 1000 + LATE_SLACK_S:
            self.n_late += 1

    def summary(self) -> dict[str, object]:
        """Return the counts with percentiles in place of the latencies."""
        fields = asdict(self)
        latencies = sorted(fields.pop("latencies_ms")) or [0.0]
        for percent in (50, 99):
            position = (len(latencies) - 1) * percent // 100
            fields[f"p{percent}_ms"] = round(latencies[position], 1)
        return fields


class Connection:
    """One connection of a caller, used by one task."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.parser = h11.Connection(h11.CLIENT)
        self.n_exchanges = 0
        self.is_reusable = True
        self.has_head = False

    async def send(self, request: h11.Request, body: bytes) -> None:
        """Send a request; raise OSError if the connection ended."""
        self.n_exchanges += 1
        self.is_reusable = self.has_head = False
        data = self.parser.send(request)
        if body:
            data += self.parser.send(h11.Data(data=body))
        data += self.parser.send(h11.EndOfMessage())
        await self.sock.sendall(data)

    async def read_head(self) -> h11.Response:
        """Return the head of the response; raise OSError if none comes."""
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self.sock.recv(READ_BYTES))
            elif type(event) is h11.Response:
                self.has_head = True
                return event
            elif type(event) is not h11.InformationalResponse:
                raise ConnectionAbortedError("no response")

    async def read_body(self, manner: Manner) -> bytes:
        """Return the body; read without end if it has none. Raise OSError."""
        body: list[bytes] = []
        n_bytes = 0
        n_read = SLOW_READ_BYTES if manner is Manner.SLOW else READ_BYTES
        while n_bytes < MAX_PARSED_BYTES:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                data = await self.sock.recv(n_read)
                n_bytes += len(data)
                self.parser.receive_data(data)
                if manner is Manner.SLOW:
                    await curio.sleep(SLOW_PAUSE_S)
            elif type(event) is h11.Data:
                body.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage:
                self._finish()
                return b"".join(body)
            else:
                raise ConnectionAbortedError("the body is incomplete")
        while await self.sock.recv(n_read):
            await curio.sleep(SLOW_PAUSE_S if manner is Manner.SLOW else 0.0)
        raise ConnectionAbortedError("the body has no end")

    def _finish(self) -> None:
        states = self.parser.our_state, self.parser.their_state
        if states == (h11.DONE, h11.DONE) and not self.parser.trailing_data[0]:
            self.parser.start_next_cycle()
            self.is_reusable = True


class Callers:
    """The callers of one service, which draw an entry for each connection."""

    def __init__(
        self, service: str, entries: list[str], seed: int, manners: tuple[Manner, ...]
    ) -> None:
        self.counts = Counts()
        self._service = service
        self._entries = entries
        self._seed = seed
        self._manners = manners

    async def run(self, n_callers: int, seconds: float, interval_s: float) -> None:
        """Run callers that send a request every interval, unless the last one waits."""
        until = time.monotonic() + seconds
        async with curio.TaskGroup() as group:
            for number in range(n_callers):
                await group.spawn(self._run_caller, number, until, interval_s)

    async def _run_caller(self, number: int, until: float, interval_s: float) -> None:
        rng = random.Random(f"{self._seed}-{self._service}-{number}")
        connection: Connection | None = None
        due_at = time.monotonic() + rng.uniform(0.0, interval_s)
        while due_at < until:
            await curio.sleep(max(0.0, due_at - time.monotonic()))
            if connection is None:
                connection = await self._connect(rng)
            if connection is not None:
                await self._call(connection, rng, f"{number}")
                if not connection.is_reusable:
                    await connection.sock.close()
                    connection = None
            due_at = max(due_at + interval_s, time.monotonic())
        if connection is not None:
            await connection.sock.close()

    async def _connect(self, rng: random.Random) -> Connection | None:
        entry = rng.choice(self._entries)
        try:
            async with curio.timeout_after(CONNECT_LIMIT_S):
                sock = await curio.open_connection(entry, CALLER_PORT)
        except (OSError, curio.TaskTimeout):
            self.counts.n_unconnected += 1
            await curio.sleep(CONNECT_PAUSE_S)
            return None
        return Connection(sock)

    async def _call(
        self, connection: Connection, rng: random.Random, name: str
    ) -> None:
        """Send a request and count how it ended."""
        counts = self.counts
        counts.n_sent += 1
        request_id = f"{self._service}-{name}-{counts.n_sent}".encode()
        request, body = self._request(rng, request_id)
        manner = rng.choice(self._manners)
        wait_s = GIVE_UP_S
        if manner is Manner.LEAVES:
            wait_s = rng.uniform(0.0, 1.0)
        started_at = time.monotonic()
        try:
            async with curio.timeout_after(wait_s):
                await connection.send(request, body)
                sent_at = time.monotonic()
                head = await connection.read_head()
                counts.record_head(head.status_code, time.monotonic() - sent_at)
                if manner is Manner.STOPS:
                    await curio.sleep(GIVE_UP_S)
                content = await connection.read_body(manner)
        except curio.TaskTimeout:
            self._record_timeout(connection, manner)
        except (OSError, h11.RemoteProtocolError):
            self._record_end(connection, time.monotonic() - started_at)
        else:
            if head.status_code == 200 and content == signature_of(request_id) * 3:
                counts.n_served += 1
                waited_ms = (time.monotonic() - started_at) * 1000
                counts.latencies_ms.append(waited_ms)

    def _request(
        self, rng: random.Random, request_id: bytes
    ) -> tuple[h11.Request, bytes]:
        """Draw a GET or a POST; return it with its body."""
        is_safe = rng.random() < 0.5
        kind = "safe" if is_safe else "unsafe"
        body = b"" if is_safe else b"x" * rng.choice(BODY_SIZES)
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", request_id),
            (b"x-deadline-ms", b"%d" % (GIVE_UP_S * 1000)),
        ]
        if not is_safe:
            headers.append((b"content-length", b"%d" % len(body)))
        target = f"/{self._service}-{kind}/{request_id.decode()}"
        method = "GET" if is_safe else "POST"
        return h11.Request(method=method, target=target, headers=headers), body

    def _record_timeout(self, connection: Connection, manner: Manner) -> None:
        if manner is Manner.LEAVES:
            self.counts.n_left += 1
        elif connection.has_head:
            self.counts.n_incomplete += 1
        else:
            self.counts.n_unanswered += 1

    def _record_end(self, connection: Connection, waited_s: float) -> None:
        if connection.has_head:
            self.counts.n_incomplete += 1
        elif connection.n_exchanges > 1 and waited_s < CROSSED_S:
            self.counts.n_crossed += 1
        else:
            self.counts.n_closed += 1


def main() -> None:
    """Run callers and print their counts as one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--entries", required=True, help="hosts, separated by commas")
    parser.add_argument("--callers", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--interval", type=float, default=0.1, help="in seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--patient", action="store_true", help="all read at once")
    arguments = parser.parse_args()
    manners = (Manner.PATIENT,) if arguments.patient else MANNERS
    entries = arguments.entries.split(",")
    callers = Callers(arguments.service, entries, arguments.seed, manners)
    curio.run(callers.run, arguments.callers, arguments.seconds, arguments.interval)
    json.dump(callers.counts.summary(), sys.stdout)


if __name__ == "__main__":
    main()
