"""A withdrawal that a frozen control replica still holds takes effect when it wakes."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import BROKEN, COULD_NOT_RUN, HELD, Deployment, Record, call, main  # noqa: E402

ZONE = "zone-c"
PATH = f"/-/evacuations/{ZONE}"
FREEZE_S = 7.4
EVACUATE_S, CONTACT_S = 5.0, 3.0
GAP_S = 7.0
"""Between the withdrawal and the next evacuation of the zone, as on the bench."""


async def consume(deployment: Deployment, number: int) -> None:
    """Send safe requests, each on a new connection."""
    rng = random.Random(number)
    for k in range(10_000):
        entry = rng.choice(deployment.entries)
        request_id = f"{number}-{k}"
        headers = {
            "Host": "shop.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "1500",
        }
        address = entry.host, deployment.front_port
        path = f"/safe/{request_id}"
        response = await call(address, "GET", path, headers, b"", 1.5)
        status = "none" if response is None else response.status
        deployment.record.write(f"request {request_id} at {entry.name}: {status}")
        await asyncio.sleep(rng.uniform(0.05, 0.15))


async def case(record: Record, has_trouble: bool) -> int:
    deployment = Deployment(record, 3, ["zone-a", "zone-b", "zone-c"] * 2)
    try:
        return await play(deployment, record, has_trouble)
    finally:
        deployment.stop()


async def play(deployment: Deployment, record: Record, has_trouble: bool) -> int:
    await deployment.start()
    put = await deployment.order(
        "PUT", "/-/config", deployment.configuration(3), within_s=20
    )
    if put is None or not await deployment.wait_ready():
        return COULD_NOT_RUN
    for number in range(8):
        deployment.spawn(consume(deployment, number))
    await asyncio.sleep(4.0)
    if await deployment.order("POST", PATH) is None:
        return COULD_NOT_RUN
    await asyncio.sleep(6.0)
    frozen = random.randrange(5)
    if has_trouble:
        deployment.controls[frozen].signal(signal.SIGSTOP)
    frozen_at = record.now()
    await asyncio.sleep(0.1)
    withdrawn_at = record.now()
    if await deployment.order("DELETE", PATH, first=frozen) is None:
        return COULD_NOT_RUN
    record.say("the withdrawal of the evacuation is acknowledged")
    await asyncio.sleep(withdrawn_at + GAP_S - record.now())
    others = [k for k in range(5) if k != frozen]
    acked_at = await deployment.order("POST", PATH, first=random.choice(others))
    if acked_at is None:
        return COULD_NOT_RUN
    record.say("the second evacuation is acknowledged")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
    if has_trouble:
        deployment.controls[frozen].signal(signal.SIGCONT)
    woken_at = record.now()
    judged_from = max(acked_at + EVACUATE_S, woken_at + CONTACT_S) + 0.5
    judged_until = judged_from + 6.0
    await asyncio.sleep(judged_until - record.now())
    late = []
    n_all = 0
    for endpoint in deployment.endpoints:
        runs = [run for run in endpoint.runs if judged_from <= run[0] <= judged_until]
        n_all += len(runs)
        if endpoint.zone == ZONE:
            late += [(at, request_id, endpoint.endpoint_id) for at, request_id in runs]
    for at, request_id, endpoint_id in late:
        record.write(f"late: {request_id} ran at {at:.3f} on {endpoint_id}")
    record.say(
        f"{len(late)} of {n_all} requests ran in {ZONE} more than "
        f"{judged_from - acked_at:.1f} s after its evacuation was acknowledged"
    )
    if n_all < 50:
        return COULD_NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(FOLDER, case)
