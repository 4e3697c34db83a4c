"""Plays endpoints that fail all their requests while their health checks pass.

Entries, endpoints and callers run in one process on real connections. The callers of
an entry send one request after another. ``python -m
pollenfold.tests.gateway.failing_endpoints --kind refuse --seed 1`` prints which share
of the requests the failing endpoints got in each second.
"""

import argparse
import random
from dataclasses import dataclass, field, replace

import curio

from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import HEALTHY, CallPath, signed_response
from pollenfold.tests.http.status_lines import signed_head

N_SLOTS = 6
WORK_MS = 60.0
DEADLINE_MS = 3_000

FAILURES = {
    "rubbish": b"no response at all\r\n\r\n",
    "status": signed_head(b"HTTP/1.1 999 X"),
    "error": signed_response(500, b"", b"q1"),
    "reset": None,
}
"""What a failing endpoint sends as its response."""


@dataclass
class Server:
    """An endpoint with a number of slots, which reports its load truthfully.

    It sends ``failure`` at once from ``fails_from_ms`` to ``fails_until_ms`` of the
    run. ``shed_share`` of the requests is refused as not executed, and ``error_share``
    gets a status of 500 after the usual work.
    """

    name: str
    failure: str = ""
    fails_from_ms: float = 0.0
    fails_until_ms: float = float("inf")
    shed_share: float = 0.0
    error_share: float = 0.0
    rng: random.Random = field(default_factory=random.Random)
    started_at: float = 0.0
    n_in_flight: int = 0
    arrived_ms: list = field(default_factory=list)

    async def start(self):
        self.slots = curio.Semaphore(N_SLOTS)
        sock = curio.tcp_server_socket("127.0.0.1", 0, backlog=500)
        self.port = sock.getsockname()[1]
        self.started_at = system_clock()
        await curio.spawn(curio.network.run_server, sock, self._serve, daemon=True)

    async def _serve(self, client, address):
        buffer = b""
        async with client:
            while data := await client.recv(65536):
                buffer += data
                if not buffer.endswith(b"\r\n\r\n"):
                    continue
                request, buffer = buffer, b""
                response = await self._respond(request)
                if response is None:
                    return
                await client.sendall(response)

    async def _respond(self, request):
        if request.startswith(b"GET /healthz"):
            n_running = min(self.n_in_flight, N_SLOTS)
            load = b"%d,%d,%d,100" % (n_running, self.n_in_flight - n_running, N_SLOTS)
            return HEALTHY % (self.name.encode(), load, b"")
        elapsed_ms = system_clock() - self.started_at
        self.arrived_ms.append(elapsed_ms)
        if self.failure and self.fails_from_ms <= elapsed_ms < self.fails_until_ms:
            return FAILURES[self.failure]
        if self.rng.random() < self.shed_share:
            return signed_response(503, b"", b"q1", b"x-not-executed: 1")
        self.n_in_flight += 1
        try:
            async with self.slots:
                await curio.sleep(WORK_MS / 1000)
        finally:
            self.n_in_flight -= 1
        status = 500 if self.rng.random() < self.error_share else 200
        return signed_response(status)


@dataclass
class Play:
    """A run of ``n_entries`` with callers who send one request after another."""

    servers: list
    seed: int = 1
    duration_ms: float = 20_000.0
    n_entries: int = 2
    n_callers: int = 20
    is_idempotent: bool = True
    probes_per_s: float = 10.0
    statuses: list = field(default_factory=list)

    async def run(self):
        """Play the run; ``statuses`` then has time and status of each response."""
        for number, server in enumerate(self.servers):
            server.rng = random.Random(self.seed * 1_000 + number)
            await server.start()
        entry_ids = tuple(f"e{number}" for number in range(self.n_entries))
        paths = [self._path(entry_id, entry_ids) for entry_id in entry_ids]
        started_at = system_clock()
        callers = [
            await curio.spawn(self._call, path, started_at, daemon=True)
            for path in paths
            for _ in range(self.n_callers)
        ]
        await curio.sleep(self.duration_ms / 1000)
        for caller in callers:
            await caller.cancel()
        for path in paths:
            await path.monitor.stop()

    def _path(self, entry_id, entry_ids):
        path = CallPath(
            self.servers,
            entry_id=entry_id,
            entry_ids=entry_ids,
            is_idempotent=self.is_idempotent,
            timeout_ms=DEADLINE_MS,
            target_latency_ms=1_000.0,
        )
        balancer = path.balancer
        balancer._settings = replace(balancer._settings, probes_per_s=self.probes_per_s)
        balancer._rng.seed(f"{self.seed}/{entry_id}")
        return path

    async def _call(self, path, started_at):
        method = b"GET" if self.is_idempotent else b"POST"
        while True:
            response = await path.get(method, deadline=b"%d" % DEADLINE_MS)
            at_ms = system_clock() - started_at
            self.statuses.append((at_ms, response.status))
            if response.status != 200:
                await curio.sleep(0.005)

    def shares(self, step_ms=1_000.0):
        """Return the share of the requests that failing servers got, by time."""
        shares = []
        for step in range(int(self.duration_ms / step_ms)):
            n_failing = self._count(step * step_ms, step_ms, True)
            n_all = n_failing + self._count(step * step_ms, step_ms, False)
            shares.append(n_failing / max(1, n_all))
        return shares

    def _count(self, from_ms, step_ms, is_failing):
        return sum(
            from_ms <= at_ms < from_ms + step_ms
            for server in self.servers
            if bool(server.failure) is is_failing
            for at_ms in server.arrived_ms
        )

    def success_share(self):
        """Return the share of the callers' requests that succeeded."""
        n_successes = sum(status == 200 for _, status in self.statuses)
        return n_successes / max(1, len(self.statuses))


def make_servers(kind, n_failing=2, n_all=12, **fields):
    """Return servers of which some fail all their requests."""
    return [
        Server(f"s{number}", kind if number < n_failing else "", **fields)
        for number in range(n_all)
    ]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=FAILURES, default="rubbish")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--failing", type=int, default=2)
    parser.add_argument("--callers", type=int, default=20)
    parser.add_argument("--probes", type=float, default=10.0)
    parser.add_argument("--post", action="store_true")
    arguments = parser.parse_args()
    play = Play(
        make_servers(arguments.kind, arguments.failing),
        arguments.seed,
        1_000.0 * arguments.seconds,
        n_callers=arguments.callers,
        is_idempotent=not arguments.post,
        probes_per_s=arguments.probes,
    )
    curio.run(play.run)
    shares = play.shares()
    n_requests = sum(len(server.arrived_ms) for server in play.servers)
    mean = sum(len(s.arrived_ms) for s in play.servers if s.failure) / n_requests
    print(
        f"kind={arguments.kind} post={arguments.post} seed={arguments.seed}"
        f" probes={arguments.probes:g} requests={n_requests} share={mean:.3f}"
        f" success={play.success_share():.3f}"
        f" by_second={','.join(f'{share:.2f}' for share in shares)}"
    )


if __name__ == "__main__":
    main()
