"""Acknowledged orders and the loss of disks, on real control replicas.

    python -m benchmarks.disk_losses --seeds 1-10 --routes 1400

Five replicas, of which two may lose their disks at the same time, are killed, stopped,
paused, wiped and killed all together in series, with no more disks lost than that. Two
operators send configurations of a chosen size and evacuate zones. Right after an
acknowledgement all replicas are killed and as many disks are wiped as may be. What was
acknowledged must be there again within the recovery time.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

import curio

from benchmarks.soak import (
    CONTROL_PORT,
    FIRST_PORT,
    RECOVERY_LIMIT_S,
    ROOT,
    Program,
    exchange,
)
from pollenfold.wire.connections import open_connection
from pollenfold.wire.lines import encode_line, read_lines

FEED_PORT = FIRST_PORT + 1
N_REPLICAS = 5
N_TOLERATED = 2
N_SEEDS = 3
ZONES = ("a", "b", "c")
CATCH_UP_S = 4.0
"""A replica counts as lost until this long after it is back."""

PAUSES_S = (0.3, 1.0, 3.0, CATCH_UP_S + 0.3)
CALL_TIMEOUT_S = 1.2
READ_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.05
FIRST_ORDER_LIMIT_S = 20.0
LAST_ORDER_LIMIT_S = 30.0


@dataclass(slots=True)
class Replica:
    """One replica and until when it counts as lost, on the monotonic clock."""

    program: Program
    lost_until: float = 0.0
    """Infinite while it is down; a wiped disk counts until the catch-up is over."""

    is_wiped: bool = False


@dataclass(slots=True)
class Acknowledged:
    """What operators were told, to compare with what is there at the end.

    An order without an acknowledgement may or may not hold, so the newest order on each
    zone counts only if it was acknowledged.
    """

    version: int = 0
    zones: dict[str, bool] = field(default_factory=dict)


def draw_network() -> str:
    """Return the first half of loopback addresses that no other run is likely to use.

    It isn't drawn from the seed of a run: two runs of one seed may be on one machine.
    """
    octets = os.urandom(2)
    return f"127.{16 + octets[0] % 224}.{octets[1]}"


class DiskLosses:
    """One run: the replicas, the operators and what they were told."""

    def __init__(
        self,
        seed: int,
        folder: Path,
        n_routes: int,
        root: Path,
        is_interrupted: bool = False,
    ) -> None:
        self.seed = seed
        self.n_routes = n_routes
        self.is_interrupted = is_interrupted
        self._rng = random.Random(seed)
        self._call_rng = random.Random(-1 - seed)
        network = draw_network()
        self.replicas = [
            Replica(add_program(folder, network, number, root))
            for number in range(N_REPLICAS)
        ]
        self._seeds = [r.program.host for r in self.replicas[:N_SEEDS]]
        self._sent_version = 0
        self.acknowledged = Acknowledged()
        self.violations: list[str] = []
        self.n_acknowledged = 0
        self.is_ending = False

    # Operators

    async def _order(
        self, method: bytes, path: str, body: bytes, limit_s: float
    ) -> bool:
        """Repeat an order until it is acknowledged; return False after the limit."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline and not self.is_ending:
            host = self._call_rng.choice(self.replicas).program.host
            response = await exchange(
                host, CONTROL_PORT, method, path, [], body, CALL_TIMEOUT_S
            )
            if response is not None and response.status == 200:
                self.n_acknowledged += 1
                return True
            if response is not None and response.status not in (307, 503):
                self.violations.append(f"{path} refused with {response.status}")
                return False
            await curio.sleep(RETRY_PAUSE_S)
        return False

    def configuration(self, version: int) -> dict[str, Any]:
        """Return the configuration that has a version."""
        return configuration(version, self.n_routes)

    async def configure(self, limit_s: float) -> bool:
        """Send the next configuration; return whether it was acknowledged."""
        self._sent_version += 1
        version = self._sent_version
        body = json.dumps(self.configuration(version)).encode()
        if not await self._order(b"PUT", "/-/config", body, limit_s):
            return False
        self.acknowledged.version = max(self.acknowledged.version, version)
        return True

    def _draw_zone(self) -> str:
        return self._call_rng.choice(ZONES)

    async def order_zone(self, limit_s: float) -> bool:
        """Evacuate a zone or take it back; return whether it was acknowledged."""
        zone = self._draw_zone()
        is_out = not self.acknowledged.zones.pop(zone, False)
        method = b"POST" if is_out else b"DELETE"
        if not await self._order(method, f"/-/evacuations/{zone}", b"", limit_s):
            return False
        self.acknowledged.zones[zone] = is_out
        return True

    async def run_operators(self) -> None:
        """Send orders until the end of the run, both kinds at the same time."""
        async with curio.TaskGroup() as group:
            await group.spawn(self._repeat, self.configure)
            await group.spawn(self._repeat, self.order_zone)

    async def _repeat(self, order: Any) -> None:
        while not self.is_ending:
            await order(LAST_ORDER_LIMIT_S)
            await curio.sleep(self._call_rng.uniform(0.05, 0.5))

    # Faults

    def _n_lost(self) -> int:
        """Return how many replicas count as lost; those caught up have their disk."""
        now = time.monotonic()
        for replica in self.replicas:
            replica.is_wiped &= replica.lost_until > now
        return sum(r.lost_until > now for r in self.replicas)

    def _wipeable(self) -> list[Replica]:
        """Return the replicas whose disks may be lost now."""
        self._n_lost()
        whole = [r for r in self.replicas if not r.is_wiped]
        n_wiped = len(self.replicas) - len(whole)
        return self._rng.sample(whole, max(0, N_TOLERATED - n_wiped))

    def _start(self, replica: Replica) -> None:
        replica.program.start(self._seeds, False)
        replica.lost_until = time.monotonic() + CATCH_UP_S

    def _wipe(self, replica: Replica) -> None:
        replica.program.kill()
        shutil.rmtree(replica.program.folder / "data")
        replica.is_wiped = True

    async def inject_fault(self) -> str:
        """Inject one fault that the tolerance allows, and wait until it is over."""
        kind = self._rng.choice(
            ("wipe", "wipe", "wipe", "kill", "stop", "pause", "kill_all", "kill_all")
        )
        if kind == "kill_all":
            await self.kill_all(self._rng.uniform(0.1, 0.9))
            return kind
        if self._n_lost() >= N_TOLERATED:
            return "none"
        replica = self._rng.choice(
            [r for r in self.replicas if r.lost_until <= time.monotonic()]
        )
        replica.lost_until = float("inf")
        replica.is_wiped = kind == "wipe"
        pause_s = self._rng.uniform(0.1, 1.5)
        match kind:
            case "wipe":
                self._wipe(replica)
            case "kill":
                replica.program.kill()
            case "stop":
                process = replica.program.process
                replica.program.signal(signal.SIGTERM)
                while process is not None and process.poll() is None:
                    await curio.sleep(0.02)
            case "pause":
                replica.program.signal(signal.SIGSTOP)
                await curio.sleep(pause_s)
                replica.program.signal(signal.SIGCONT)
                replica.lost_until = time.monotonic() + CATCH_UP_S
                return kind
        await curio.sleep(pause_s)
        self._start(replica)
        return kind

    async def _interrupt_growth(self) -> list[str]:
        """Kill all replicas while a wiped one is about to become a voter again.

        The next two disks may be lost as soon as it has had time to catch up.
        """
        replica = self._rng.choice(self.replicas)
        self._wipe(replica)
        await curio.sleep(0.1)
        self._start(replica)
        wait_s = self._rng.uniform(0.0, 3.0)
        await curio.sleep(wait_s)
        await self.kill_all(self._rng.uniform(0.1, 0.9))
        await curio.sleep(CATCH_UP_S)
        return ["wipe", f"kill_all@{wait_s:.2f}"]

    async def kill_all(self, pause_s: float) -> None:
        """Kill all replicas and start them again; their disks are kept."""
        self._n_lost()
        for replica in self.replicas:
            replica.program.kill()
        await curio.sleep(pause_s)
        for replica in self.replicas:
            self._start(replica)

    def final_fault(self) -> list[str]:
        """Kill all replicas and wipe as many disks as may be; return whose."""
        self.is_ending = True
        for replica in self.replicas:
            replica.program.kill()
        wiped = self._wipeable()
        for replica in wiped:
            self._wipe(replica)
        return [r.program.name for r in wiped]

    # The run

    async def run(self, n_faults: int) -> None:
        """Start the group, inject faults, then lose disks and judge."""
        for replica in self.replicas:
            replica.program.start(self._seeds, True)
            await curio.sleep(self._rng.uniform(0.0, 0.3))
        if not await self.configure(FIRST_ORDER_LIMIT_S):
            self.violations.append("the first configuration was not acknowledged")
            return
        operators = await curio.spawn(self.run_operators)
        faults = []
        if self.is_interrupted:
            faults = await self._interrupt_growth()
        else:
            for _ in range(n_faults):
                faults.append(await self.inject_fault())
                await curio.sleep(self._rng.choice(PAUSES_S))
        n_before = self.n_acknowledged
        last_fault_at = time.monotonic()
        deadline = last_fault_at + LAST_ORDER_LIMIT_S
        while self.n_acknowledged == n_before and time.monotonic() < deadline:
            await curio.sleep(0.002)
        waited_s = time.monotonic() - last_fault_at
        if self.n_acknowledged == n_before:
            self.violations.append(
                f"no order was acknowledged within {waited_s:.1f} s after {faults}"
            )
        wiped = self.final_fault()
        await operators.join()
        await curio.sleep(self._rng.uniform(0.2, 0.9))
        for replica in self.replicas:
            self._start(replica)
        recovered_s = await self._judge()
        print(
            f"seed={self.seed} routes={self.n_routes} faults={','.join(faults)} "
            f"last_order_s={waited_s:.1f} wiped={','.join(wiped)} "
            f"acknowledged={self.n_acknowledged} "
            f"vote_s={self._times_to_vote()} recovered_s={recovered_s:.1f} "
            f"violations={len(self.violations)}",
            flush=True,
        )

    async def _judge(self) -> float:
        """Compare what is there with what was acknowledged; return the time it took."""
        started_at = time.monotonic()
        while time.monotonic() < started_at + RECOVERY_LIMIT_S:
            version = await self._read_version()
            if version is not None:
                self._check(version, await self._read_evacuated())
                return time.monotonic() - started_at
            await curio.sleep(RETRY_PAUSE_S)
        self.violations.append(f"nothing was read within {RECOVERY_LIMIT_S} s")
        return RECOVERY_LIMIT_S

    def _check(self, version: int, evacuated: frozenset[str]) -> None:
        if not self.acknowledged.version <= version <= self._sent_version:
            self.violations.append(
                f"configuration {version}, acknowledged {self.acknowledged.version}"
            )
        for zone, is_out in self.acknowledged.zones.items():
            if (zone in evacuated) != is_out:
                self.violations.append(
                    f"zone {zone} is {'in' if is_out else 'out'}, not as acknowledged"
                )

    async def _read_version(self) -> int | None:
        host = self._call_rng.choice(self.replicas).program.host
        response = await exchange(
            host, CONTROL_PORT, b"GET", "/-/config", [], b"", CALL_TIMEOUT_S
        )
        if response is None or response.status != 200:
            return None
        return int(json.loads(response.body)["version"])

    async def _read_evacuated(self) -> frozenset[str]:
        """Return the evacuated zones of the newest state that any replica has."""
        newest: dict[str, Any] = {"index": -1, "evacuated": []}
        for replica in self.replicas:
            try:
                async with curio.timeout_after(READ_TIMEOUT_S):
                    state = await read_state(replica.program.host)
            except (OSError, curio.TaskTimeout):
                continue
            newest = max(newest, state, key=lambda s: int(s["index"]))
        return frozenset(newest["evacuated"])

    def _times_to_vote(self) -> str:
        """Return how long new disks took to vote, by the logs, and when none did."""
        times = []
        for replica in self.replicas:
            log = (replica.program.folder / "log").read_text()
            times += times_to_vote(log)
        return ",".join(f"{t:.1f}" for t in times[N_REPLICAS:])

    def stop(self) -> None:
        """End all processes."""
        for replica in self.replicas:
            replica.program.kill()
            self.violations += replica.program.socket_violations()


def times_to_vote(log: str) -> list[float]:
    """Return for each disk how long it took from its first start to its vote.

    Infinite for a disk that never was a voter in its own view.
    """
    started_at: dict[str, float] = {}
    times: dict[str, float] = {}
    for line in log.splitlines():
        fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
        if "time" not in fields:
            continue
        at = datetime.fromisoformat(fields["time"]).timestamp()
        if fields.get("event") == "started":
            started_at.setdefault(fields["replica"], at)
            times.setdefault(fields["replica"], float("inf"))
        if fields.get("event") == "members_changed":
            for replica_id in fields["voters"].split(","):
                if times.get(replica_id) == float("inf"):
                    times[replica_id] = at - started_at[replica_id]
    return list(times.values())


async def read_state(host: str) -> dict[str, Any]:
    """Return the replicated state that a replica sends to the entries."""
    sock = await open_connection(host, FEED_PORT)
    async with sock:
        hello = {"name": "reader", "zone": "a", "role": "control", "news": 0}
        await sock.sendall(encode_line(hello) + encode_line({"get": 1}))
        lines = read_lines(sock, lambda: READ_TIMEOUT_S * 1000)
        async with curio.meta.finalize(lines):
            async for line in lines:
                if "orders" in line:
                    state: dict[str, Any] = line["orders"]
                    return state
    raise OSError("no state was sent")


def configuration(version: int, n_routes: int) -> dict[str, Any]:
    """Return a configuration with a number of routes to one service."""
    paths = [
        {
            "name": f"r-{number:06d}",
            "pathPrefix": f"/p{number:06d}/",
            "kind": "safe",
            "timeoutMs": 1000 + version,
            "targetLatencyMs": 200,
            "priority": 1,
            "service": "s",
            "maxAttempts": 2,
        }
        for number in range(n_routes)
    ]
    service = {"name": "s", "healthPath": "/healthz", "maxConns": 200}
    service |= {"warmupS": 3.0, "warmupPerS": 50.0}
    return {
        "version": version,
        "services": [service],
        "limits": {"idleMs": 15000, "headerMs": 3000},
        "hosts": [{"host": "h.example", "paths": paths}],
    }


def add_program(folder: Path, network: str, number: int, root: Path) -> Program:
    """Return the program of one replica on an empty disk."""
    name = f"core-{number}"
    home = folder / name
    home.mkdir(parents=True)
    zone = ZONES[number % len(ZONES)]
    program = Program(name, "control", f"{network}.{number + 1}", zone, home)
    program.root = root
    program.n_tolerated = N_TOLERATED
    return program


def run_seed(
    seed: int,
    n_routes: int,
    n_faults: int,
    keep: Path | None,
    root: Path = ROOT,
    is_interrupted: bool = False,
) -> list[str]:
    """Play one seed and return the violations; keep the logs of a failed run."""
    folder = Path(tempfile.mkdtemp(prefix=f"disks-{seed}-"))
    losses = DiskLosses(seed, folder, n_routes, root, is_interrupted)
    try:
        curio.run(losses.run, n_faults)
    finally:
        losses.stop()
        if losses.violations and keep is not None:
            keep_logs(losses, keep / f"seed-{seed}-{n_routes}")
        shutil.rmtree(folder, ignore_errors=True)
    return [f"seed {seed} routes {n_routes}: {text}" for text in losses.violations]


def keep_logs(losses: DiskLosses, target: Path) -> None:
    """Copy the logs of all replicas of a failed run."""
    target.mkdir(parents=True, exist_ok=True)
    for replica in losses.replicas:
        program = replica.program
        shutil.copy(program.folder / "log", target / f"{program.name}.log")


def seed_numbers(text: str) -> Sequence[int]:
    """Return the seeds of a range, for example those of ``1-5``."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> int:
    """Play the given seeds; the exit status is 1 if something was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-2", help="for example 1-5")
    parser.add_argument("--routes", type=int, default=1400)
    parser.add_argument("--faults", type=int, default=5)
    parser.add_argument(
        "--interrupted",
        action="store_true",
        help="only kill all replicas while a wiped one catches up",
    )
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="folder with the version to run"
    )
    arguments = parser.parse_args()
    violations = []
    for seed in seed_numbers(arguments.seeds):
        violations += run_seed(
            seed,
            arguments.routes,
            arguments.faults,
            arguments.keep,
            arguments.root,
            arguments.interrupted,
        )
    print("\n".join(violations) or "nothing acknowledged was lost")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
