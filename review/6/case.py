"""Callers that leave while connections to servers behind a cut open use up the pools.

A request that waits for a connection to open is cancelled when its caller leaves. The
connection stays counted for ever, and after some of them the entry opens no further one
to that server, also when the server is back.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (  # noqa: E402
    Caller,
    CannotRun,
    Endpoint,
    Program,
    System,
    call,
    configuration,
    response,
    run_case,
)

DARK_S = 5.5
N_TIMES = 2
PAUSE_S = 3.0
N_PIPELINED = 7
N_STAYING = 5
"""For each two callers that leave, so that these are under three in ten."""

LEAVES_AFTER_S = 0.25
"""Half of the objective of the routes, which is 500 ms."""

CALM_S = 12.0
N_ASKED = 40
MAX_CONNECTIONS = 27
"""Gives an entry of two as many connections as the 260 of the site give one of 19."""


async def slow_work(
    endpoint: Endpoint, method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    await asyncio.sleep(1.0 if target.startswith("/first/slow") else 0.02)
    request_id = headers.get("x-request-id", "")
    return response(200, request_id, b"done")


async def play(system: System, has_trouble: bool) -> bool:
    record = system.record
    system.start()
    orders = [
        Endpoint(system, n, f"i-o{n}", "orders", work=slow_work) for n in range(11, 21)
    ]
    plans = [Endpoint(system, n, f"i-p{n}", "plans") for n in (5, 6)]
    for endpoint in plans:
        endpoint.tells_load = False
    for endpoint in (*orders, *plans):
        await endpoint.start()
    first = {
        "name": "r-1",
        "pathPrefix": "/first/",
        "kind": "safe",
        "service": "orders",
    }
    later = {"name": "r-2", "pathPrefix": "/later/", "kind": "safe", "service": "plans"}
    for version, routes in ((1, [first]), (2, [first, later])):
        text = configuration(
            version, routes, ["orders", "plans"], max_connections=MAX_CONNECTIONS
        )
        answer = await system.order("PUT", "/-/config", text, 25.0)
        if answer.status != 200:
            raise CannotRun(f"no configuration: {answer.status}")
        await asyncio.sleep(2.5)
    await system.wait_ready()
    caller = Caller(system)
    for _ in range(2):
        served = await ask_all(system, caller, "/later/x")
        record.write(f"before: {served} of {N_ASKED} served on the later route")
    if served < N_ASKED / 2:
        raise CannotRun(f"only {served} of {N_ASKED} were served before")
    for _ in range(N_TIMES):
        await play_silence(system, caller, plans if has_trouble else [])
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(CALM_S)
    for endpoint in plans:
        answer = await call(endpoint.host, endpoint.port, "GET", "/healthz")
        record.write(f"{endpoint.id} answers a health check with {answer.status}")
        if answer.status != 200:
            raise CannotRun(f"{endpoint.id} isn't back")
    n_later = await ask_all(system, caller, "/later/x")
    n_first = await ask_all(system, caller, "/first/x")
    record.write(
        f"in steady state, of {N_ASKED} requests each: {n_first} served on the first"
        f" route, {n_later} on the later one"
    )
    return n_later < n_first / 4


async def play_silence(
    system: System, caller: Caller, endpoints: list[Endpoint]
) -> None:
    """Let servers be silent for some seconds while callers leave early."""
    until = system.record.now() + DARK_S
    for endpoint in endpoints:
        endpoint.go_dark()
    while system.record.now() < until - 0.5:
        for entry in system.entries:
            system.spawn(leave_early(system, caller, entry))
        for _ in range(N_STAYING):
            system.spawn(stay(caller, random.choice(system.entries)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(until - system.record.now())
    for endpoint in endpoints:
        await endpoint.come_back()


async def ask_all(system: System, caller: Caller, target: str) -> int:
    """Send requests through all entries; return how many got a success."""
    n_served = 0
    for number in range(N_ASKED):
        entry = system.entries[number % len(system.entries)]
        _, answer = await caller.send(entry, "GET", target)
        n_served += answer.status == 200
        await asyncio.sleep(0.05)
    return n_served


async def stay(caller: Caller, entry: Program) -> None:
    await caller.send(entry, "GET", "/first/x")


async def leave_early(system: System, caller: Caller, entry: Program) -> None:
    """Send safe requests without waiting for the first response, then leave."""
    reader, writer = await asyncio.open_connection(entry.host, system.front_port)
    targets = ["/first/slow"] + [f"/later/{n}" for n in range(N_PIPELINED)]
    for target in targets:
        request_id = caller.next_id()
        system.record.write(f"{request_id} sent to {entry.name}: GET {target}, leaves")
        writer.write(
            f"GET {target} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2000\r\n\r\n".encode()
        )
    await asyncio.sleep(LEAVES_AFTER_S * random.uniform(0.5, 1.0))
    writer.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
