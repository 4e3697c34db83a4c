"""A server's 503 without X-Not-Executed is passed on for an unsafe request that ran."""

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
    System,
    configuration,
    response,
    run_case,
)

FAILS_FOR_S = 6.5
FAILED_SHARE = 0.45

fails = False


async def failing_work(
    endpoint: Endpoint, method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Work, and fail a share of the requests at the end of their runs."""
    request_id = headers.get("x-request-id", "")
    await asyncio.sleep(0.05)
    if fails and random.random() < FAILED_SHARE:
        endpoint.system.record.write(f"{request_id} fails at its end at {endpoint.id}")
        return response(503, request_id, b"failed")
    return response(200, request_id, b"done")


async def play(system: System, has_trouble: bool) -> bool:
    global fails
    record = system.record
    system.start()
    endpoints = [Endpoint(system, n, f"i-{n}", "orders") for n in range(1, 7)]
    failing = Endpoint(system, 7, "i-failing", "orders", work=failing_work)
    endpoints.append(failing)
    for endpoint in endpoints:
        await endpoint.start()
    route = {"name": "r", "pathPrefix": "/a/", "kind": "unsafe", "service": "orders"}
    answer = await system.order(
        "PUT", "/-/config", configuration(1, [route], ["orders"]), 25.0
    )
    if answer.status != 200:
        raise CannotRun(f"no configuration: {answer.status}")
    await system.wait_ready()
    await asyncio.sleep(3.5)
    caller = Caller(system)
    refused: list[str] = []

    async def send_one(number: int) -> None:
        entry = system.entries[number % len(system.entries)]
        request_id, answer = await caller.send(entry, "POST", "/a/1", None, b"order")
        if answer.status in (408, 421, 429, 503):
            refused.append(request_id)

    fails = has_trouble
    until = record.now() + FAILS_FOR_S
    number = 0
    while record.now() < until:
        system.spawn(send_one(number))
        number += 1
        await asyncio.sleep(0.02)
    await asyncio.sleep(3.0)
    run = {k for endpoint in endpoints for _, k in endpoint.arrivals}
    both = [k for k in refused if k in run]
    record.write(
        f"of {number} unsafe requests {len(both)} ran and were answered 503:"
        f" {', '.join(both[:5]) or 'none'}"
    )
    return bool(both)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
