"""Core machines that are replaced one after the other, on real control replicas.

    python -m benchmarks.departures --seeds 1-20
    python -m benchmarks.departures --seeds 1-20 --killed 3 --gap-s 1.0

Each seed draws how many of five replicas get SIGTERM, how far apart, and when the
leader is one of them. Their successors have been up for the catch-up time by then, so
none of those that leave counts as lost. Operators send orders meanwhile. In some runs
one of the others is killed and comes back, and in all of them two disks are lost at
the end. Orders must go on, and what was acknowledged must be there.
"""

from __future__ import annotations

import argparse
import re
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import curio

from benchmarks.disk_losses import (
    CATCH_UP_S,
    FIRST_ORDER_LIMIT_S,
    LAST_ORDER_LIMIT_S,
    N_REPLICAS,
    DiskLosses,
    Replica,
    add_program,
    keep_logs,
    seed_numbers,
)
from benchmarks.soak import RECOVERY_LIMIT_S, ROOT

GRACE_S = 6.0
GAPS_S = (0.0, 0.3, 1.0, 2.5)
N_ROUTES = 20
POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class Plan:
    """Which replicas leave: how many, how far apart, and the leader as which of them.

    With ``is_one_killed`` one that stays is killed in between and comes back. Those
    that leave get ``signal``: SIGTERM, or SIGKILL as a machine that is gone at once.
    """

    n_leaving: int
    gap_s: float
    leader_position: int
    is_one_killed: bool
    signal: signal.Signals = signal.SIGTERM


class Departures(DiskLosses):
    """One run: the group, its successors, and the operators of ``DiskLosses``."""

    def __init__(self, seed: int, folder: Path, root: Path, plan: Plan | None) -> None:
        super().__init__(seed, folder, N_ROUTES, root)
        self._folder = folder
        self._root = root
        drawn = self._draw_plan()
        self.plan = plan or drawn
        self.gone: list[Replica] = []

    def _draw_plan(self) -> Plan:
        n_leaving = self._rng.randint(1, N_REPLICAS)
        position = self._rng.randrange(N_REPLICAS)
        is_one_killed = n_leaving < N_REPLICAS and self._rng.random() < 0.3
        return Plan(n_leaving, self._rng.choice(GAPS_S), position, is_one_killed)

    async def run(self, n_faults: int) -> None:
        """Form the group, replace its members, then lose two disks and judge."""
        for replica in self.replicas:
            replica.program.start(self._seeds, True)
        if not await self.configure(FIRST_ORDER_LIMIT_S):
            self.violations.append("the first configuration was not acknowledged")
            return
        operators = await curio.spawn(self.run_operators)
        leaving = await self._start_successors()
        await self._let_leave(leaving)
        await self._wait_for_order()
        # Those that were started last, or killed, count as lost until now.
        await curio.sleep(CATCH_UP_S)
        wiped = self.final_fault()
        await operators.join()
        for replica in self.replicas:
            self._start(replica)
        recovered_s = await self._judge()
        print(
            f"seed={self.seed} plan={self.plan} wiped={','.join(wiped)} "
            f"acknowledged={self.n_acknowledged} recovered_s={recovered_s:.1f} "
            f"violations={len(self.violations)}",
            flush=True,
        )

    async def _start_successors(self) -> list[Replica]:
        """Add a successor for each replica that leaves; return those, in order."""
        network = self.replicas[0].program.host.rpartition(".")[0]
        old = list(self.replicas)
        for number in range(self.plan.n_leaving):
            program = add_program(
                self._folder, network, N_REPLICAS + number, self._root
            )
            self.replicas.append(Replica(program))
            self._start(self.replicas[-1])
            await curio.sleep(CATCH_UP_S / 2)
        await curio.sleep(CATCH_UP_S)
        leader = max(old, key=lambda replica: last_term_led(replica))
        order = [replica for replica in old if replica is not leader]
        self._rng.shuffle(order)
        order.insert(self.plan.leader_position, leader)
        return order[: self.plan.n_leaving]

    async def _let_leave(self, leaving: list[Replica]) -> None:
        staying = [r for r in self.replicas if r not in leaving]
        # Machines that are started from now on are named others as seeds.
        self._seeds = [r.program.host for r in staying[:3]]
        signalled_at = []
        for replica in leaving:
            replica.program.signal(self.plan.signal)
            signalled_at.append(time.monotonic())
            await curio.sleep(self.plan.gap_s)
        if self.plan.is_one_killed:
            killed = self._rng.choice(staying)
            killed.program.kill()
            await curio.sleep(0.5)
            self._start(killed)
        for replica, at in zip(leaving, signalled_at, strict=True):
            await self._remove(replica, at + GRACE_S)

    async def _remove(self, replica: Replica, kill_at: float) -> None:
        """Take away a machine whose process has ended; its disk is gone for good."""
        process = replica.program.process
        while process is not None and process.poll() is None:
            if time.monotonic() > kill_at:
                self.violations.append(f"{replica.program.name} outlived its grace")
                replica.program.kill()
            await curio.sleep(POLL_S)
        self.replicas.remove(replica)
        self.gone.append(replica)

    async def _wait_for_order(self) -> None:
        n_before = self.n_acknowledged
        started_at = time.monotonic()
        while self.n_acknowledged < n_before + 2:
            waited_s = time.monotonic() - started_at
            if waited_s > min(RECOVERY_LIMIT_S, LAST_ORDER_LIMIT_S):
                self.violations.append(
                    f"no order was acknowledged for {waited_s:.0f} s"
                )
                return
            await curio.sleep(POLL_S)

    def stop(self) -> None:
        """End all processes."""
        self.replicas += self.gone
        super().stop()


def last_term_led(replica: Replica) -> int:
    """Return the last term that a replica led, by its log, or 0."""
    log = (replica.program.folder / "log").read_text()
    terms = re.findall(r"event=role_changed .*role=leader term=(\d+)", log)
    return int(terms[-1]) if terms else 0


def run_seed(
    seed: int, keep: Path | None, root: Path = ROOT, plan: Plan | None = None
) -> list[str]:
    """Play one seed and return the violations; keep the logs of a failed run."""
    folder = Path(tempfile.mkdtemp(prefix=f"departures-{seed}-"))
    departures = Departures(seed, folder, root, plan)
    try:
        curio.run(departures.run, 0)
    finally:
        departures.stop()
        if departures.violations and keep is not None:
            keep_logs(departures, keep / f"seed-{seed}")
        shutil.rmtree(folder, ignore_errors=True)
    return [f"seed {seed} {departures.plan}: {v}" for v in departures.violations]


def main() -> int:
    """Play the given seeds; the exit status is 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-2", help="for example 1-5")
    parser.add_argument("--keep", type=Path, help="folder for logs of failed seeds")
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="folder with the version to run"
    )
    parser.add_argument(
        "--killed", type=int, default=0, help="so many are killed and nobody stops"
    )
    parser.add_argument("--gap-s", type=float, default=1.0, help="between two kills")
    arguments = parser.parse_args()
    violations = []
    for seed in seed_numbers(arguments.seeds):
        plan = None
        if arguments.killed:
            position = seed % arguments.killed
            plan = Plan(
                arguments.killed, arguments.gap_s, position, False, signal.SIGKILL
            )
        violations += run_seed(seed, arguments.keep, arguments.root, plan)
    print("\n".join(violations) or "each replica was replaced, and nothing was lost")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
