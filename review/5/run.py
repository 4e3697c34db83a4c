"""No control replica starts where the internal ports begin at 7670 or 7671."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import BROKEN, COULD_NOT_RUN, HELD, Deployment, Record, call, main  # noqa: E402

RESTART_PAUSE_S = 0.5
WATCH_S = 40.0


async def restart_ended(deployment: Deployment, ends: dict[str, int]) -> None:
    """Restart each process that ends by itself, as the platform does."""
    while True:
        await asyncio.sleep(RESTART_PAUSE_S)
        for node in deployment.controls + deployment.entries:
            if node.process is not None and node.process.poll() is not None:
                ends[node.name] = ends.get(node.name, 0) + 1
                status = node.process.returncode
                deployment.record.write(f"{node.name} ended by itself, status {status}")
                node.start(bootstrap=True)


async def case(record: Record, has_trouble: bool) -> int:
    deployment = Deployment(record, 3, ["zone-a", "zone-b", "zone-c"])
    # Ranges of 16 ports, as in the examples of the pages.
    firsts = (7670, 7671) if has_trouble else (7660, 7680)
    deployment.internal_port = random.choice(firsts)
    record.say(f"internalPorts begin at {deployment.internal_port}")
    try:
        return await play(deployment, record)
    finally:
        deployment.stop()


async def play(deployment: Deployment, record: Record) -> int:
    ends: dict[str, int] = {}
    await deployment.start()
    deployment.spawn(restart_ended(deployment, ends))
    put = deployment.spawn(
        deployment.order(
            "PUT", "/-/config", deployment.configuration(3), within_s=WATCH_S
        )
    )
    served = 0
    number = 0
    rng = random.Random(1)
    while record.now() < WATCH_S and served < 20:
        number += 1
        entry = rng.choice(deployment.entries)
        headers = {
            "Host": "shop.example",
            "X-Request-Id": f"r-{number}",
            "X-Deadline-Ms": "1500",
        }
        address = entry.host, deployment.front_port
        response = await call(address, "GET", f"/safe/{number}", headers, b"", 1.5)
        status = "none" if response is None else response.status
        record.write(f"request r-{number} at {entry.name}: {status}")
        served += status == 200
        await asyncio.sleep(0.1)
    core_ends = [ends.get(node.name, 0) for node in deployment.controls]
    record.say(f"{served} of {number} requests served; ends of core: {core_ends}")
    if not put.done():
        put.cancel()
    if served >= 20 and not any(core_ends):
        return HELD
    is_broken = not served or sum(n >= 3 for n in core_ends) >= 3
    return BROKEN if is_broken else COULD_NOT_RUN


if __name__ == "__main__":
    main(FOLDER, case)
