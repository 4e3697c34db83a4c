"""Three of five core machines are replaced in turn; the acknowledged state is gone."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_3 as s  # noqa: E402

VERSION = 3
N_REPLACED = 3
GAP_S = 1.0
"""Between two SIGTERMs: the default of ``gap_s``."""

START_GAP_S = 2.5
"""Between the starts of two successors."""

CATCH_UP_S = 4.0
RECOVERY_S = 15.0


def case(record: s.Record, platform: s.Platform) -> bool:
    """Return whether the configuration that was acknowledged doesn't come any more."""
    operator = s.Operator(platform)
    old = platform.of_role("control")
    for machine in old:
        platform.start(machine)
    routes = [s.route("r-1", "/x/", "safe", "stock")]
    status, _ = operator.order(
        "PUT", "/-/config", s.configuration(VERSION, ["stock"], routes)
    )
    if status != 200:
        raise s.CannotRunError("the first configuration wasn't acknowledged")
    time.sleep(3.0)
    # The new machines first, one after another, each with its time to catch up.
    new = []
    for _ in range(N_REPLACED):
        new.append(platform.add_control(is_named_by=old[:3]))
        platform.start(new[-1])
        time.sleep(START_GAP_S)
    time.sleep(CATCH_UP_S + 1.0)
    host = s.leader_host(platform, new[-1])
    leaders = [machine for machine in old if machine.host == host]
    if not leaders or operator.read_anywhere(5.0) != VERSION:
        raise s.CannotRunError("the group wasn't whole before the replacement")
    record.write(f"leader: {leaders[0].name}; all successors are up for {CATCH_UP_S} s")
    others = [machine for machine in old if machine not in leaders]
    leaving = [others[0], *leaders, *others[1:]]
    if s.has_trouble():
        started = time.monotonic()
        for n, machine in enumerate(leaving[:N_REPLACED]):
            time.sleep(max(0.0, started + n * GAP_S - time.monotonic()))
            platform.signal(machine, signal.SIGTERM)
        for machine in leaving[:N_REPLACED]:
            platform.remove(machine)
    time.sleep(RECOVERY_S)
    version = operator.read_anywhere(20.0)
    status, _ = operator.order("POST", f"/-/evacuations/{s.ZONES[0]}", until_s=5.0)
    record.write(f"read back: {version}, a new order: {status or 'no ack'}")
    return version is None or version < VERSION


if __name__ == "__main__":
    sys.exit(s.run_case(case, FOLDER, n_entries=0))
