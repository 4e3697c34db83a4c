"""The first acknowledged order of a new group, and the loss of disks right after it.

    python -m benchmarks.first_orders --seeds 1-6

Five control replicas are started some time apart while an operator evacuates a zone. At
the acknowledgement all of them are killed and two disks are wiped. The group must elect
a leader again, and the zone must still be evacuated.
"""

from __future__ import annotations

import argparse
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import curio

from benchmarks.disk_losses import (
    LAST_ORDER_LIMIT_S,
    RETRY_PAUSE_S,
    DiskLosses,
)
from benchmarks.lost_requests import copy_logs
from benchmarks.soak import RECOVERY_LIMIT_S, ROOT

GAPS_S = (0.1, 1.2)
"""The shortest and the longest time between two starts."""


class FirstOrders(DiskLosses):
    """A new group and its first order."""

    def __init__(self, seed: int, folder: Path, root: Path) -> None:
        super().__init__(seed, folder, 1, root)
        self.n_started = 0
        for replica in self.replicas:
            # A replica that hasn't been started has a disk that may be lost, too.
            (replica.program.folder / "data").mkdir()

    async def _start_in_turn(self) -> None:
        rng = random.Random(f"{self.seed}-starts")
        for replica in self.replicas:
            replica.program.start(self._seeds, True)
            self.n_started += 1
            await curio.sleep(rng.uniform(*GAPS_S))

    async def play(self) -> list[str]:
        """Order from the first moment on, lose disks and return the cases."""
        began_at = time.monotonic()
        starts = await curio.spawn(self._start_in_turn)
        is_acknowledged = await self.order_zone(LAST_ORDER_LIMIT_S)
        waited_s = time.monotonic() - began_at
        n_started = self.n_started
        await starts.cancel()
        wiped = self.final_fault()
        self.is_ending = False
        for replica in self.replicas:
            self._start(replica)
        cases = await self._lost_orders() if is_acknowledged else []
        print(
            f"seed={self.seed} acknowledged={is_acknowledged} after_s={waited_s:.1f} "
            f"started={n_started} wiped={','.join(wiped)} cases={len(cases)}",
            flush=True,
        )
        return cases

    async def _lost_orders(self) -> list[str]:
        if not await self.configure(RECOVERY_LIMIT_S):
            return [f"no order was acknowledged within {RECOVERY_LIMIT_S} s"]
        # Replicas apply what they have only when a leader has committed it.
        await curio.sleep(10 * RETRY_PAUSE_S)
        self._check(self.acknowledged.version, await self._read_evacuated())
        return self.violations


def run_seed(seed: int, keep: Path | None, root: Path = ROOT) -> list[str]:
    """Play one seed and return the cases; keep the logs of a run with cases."""
    folder = Path(tempfile.mkdtemp(prefix=f"first-{seed}-"))
    orders = FirstOrders(seed, folder, root)
    cases: list[str] = []
    try:
        cases = curio.run(orders.play)
    finally:
        orders.stop()
        if keep is not None and cases:
            copy_logs(folder, keep / f"first-{seed}", cases)
        shutil.rmtree(folder, ignore_errors=True)
    for text in cases:
        print(f"  {text}", flush=True)
    return cases


def main() -> int:
    """Play the given seeds; the exit status is 1 if something was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="for example 1-5")
    parser.add_argument("--keep", type=Path, help="folder for logs of runs with cases")
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="folder with the version to run"
    )
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    n_cases = 0
    for seed in range(int(first), int(last or first) + 1):
        n_cases += len(run_seed(seed, arguments.keep, arguments.root))
    return 1 if n_cases else 0


if __name__ == "__main__":
    sys.exit(main())
