"""This version beside the one before it: processes are replaced one after the other."""

import signal
import subprocess
import time

import curio
import pytest

from benchmarks.soak import CONTROL_PORT, ROOT, Soak, exchange

EARLIER_COMMIT = "455ebbe"
"""The version that runs when this one is rolled out."""

NETWORK_SEED = 194
"""Selects a network of loopback addresses that no other test uses."""

STOP_LIMIT_S = 8.0
START_LIMIT_S = 15.0
N_ENTRIES = 2
N_CALLERS = 4


class MixedSystem(Soak):
    """A system whose processes are replaced; records requests without a response."""

    def __post_init__(self):
        super().__post_init__()
        self.entries = self.entries[:N_ENTRIES]
        for entry in self.entries:
            entry.module = ("pollenfold.platform",)
        self.unanswered = set()
        self.n_orders = 0

    async def _call(self, connection, kind, request_id):
        n_before = self.n_served + len(self.refused)
        is_reusable = await super()._call(connection, kind, request_id)
        if not is_reusable and self.n_served + len(self.refused) == n_before:
            self.unanswered.add(request_id)
        return is_reusable

    def lost(self):
        """Return the requests that a server ran and whose callers got no response."""
        ran = {request_id for b in self.backends for request_id in b.executions}
        return sorted(self.unanswered & ran)

    async def replace(self, program, root):
        """Stop a process as in planned work, and start another version of it."""
        program.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_LIMIT_S
        while program.process.poll() is None and time.monotonic() < deadline:
            await curio.sleep(0.02)
        assert program.process.poll() == 0, f"{program.name} didn't stop"
        program.root = root
        program.start(self.seeds, False)
        await self.wait_started(program)

    async def wait_started(self, program):
        deadline = time.monotonic() + START_LIMIT_S
        while not program.has_started():
            assert program.process.poll() is None, f"{program.name} ended"
            assert time.monotonic() < deadline, f"{program.name} didn't start"
            await curio.sleep(0.02)
        log = (program.folder / "log").read_text()
        started = log.rpartition("event=started")[2].partition("\n")[0]
        # Only this version names the port of its metrics when it starts.
        assert ("metrics_port=" in started) == (program.root == ROOT)

    async def order_zones(self):
        """Evacuate zones and take them back until cancelled."""
        while True:
            await self.zone_out_and_in()
            self.n_orders += 1

    async def order_at_each(self):
        """Give an order and its opposite at each control process by itself."""
        for program in self.controls:
            for method in (b"POST", b"DELETE"):
                await self._order_at(program.host, method)

    async def _order_at(self, host, method):
        path = "/-/evacuations/b"
        async with curio.timeout_after(5):
            while True:
                response = await exchange(
                    host, CONTROL_PORT, method, path, [], b"", 1.0
                )
                if response is not None and response.status == 200:
                    return
                await curio.sleep(0.1)


@pytest.fixture(scope="module")
def earlier_root(tmp_path_factory):
    """Return a folder with the earlier version, from the repository's history."""
    folder = tmp_path_factory.mktemp("earlier")
    archive = folder / "archive.tar"
    command = ["git", "archive", "-o", str(archive), EARLIER_COMMIT, "pollenfold"]
    subprocess.run(command, cwd=ROOT, check=True)
    subprocess.run(["tar", "-xf", str(archive)], cwd=folder, check=True)
    return folder


@pytest.fixture
def system(tmp_path):
    """Return the processes of a mixed system."""
    system = MixedSystem(NETWORK_SEED, tmp_path, 1)
    yield system
    system.is_over = True
    system.stop()


def versions(system):
    """Return the folders of the versions that run now."""
    return {program.root for program in system.controls + system.entries}


@pytest.mark.parametrize("is_rolled_out", [True, False])
def test_processes_are_replaced_one_by_one_under_load(
    system, earlier_root, is_rolled_out
):
    """Guards against messages, logs, snapshots or stored files that one of two versions
    can't read, while one is rolled out or rolled back."""
    before, after = (earlier_root, ROOT) if is_rolled_out else (ROOT, earlier_root)

    async def main():
        for program in system.controls + system.entries:
            program.root = before
            program.start(system.seeds, True)
        for backend in system.backends:
            await backend.start(system.seeds, CONTROL_PORT)
        await system.put_configuration()
        assert system.acknowledged
        callers = [await curio.spawn(system.run_caller, k) for k in range(N_CALLERS)]
        await curio.sleep(2.0)
        zones = await curio.spawn(system.order_zones, daemon=True)
        programs = [p for pair in zip(system.controls, system.entries) for p in pair]
        programs += system.controls[len(system.entries) :]
        for number, program in enumerate(programs):
            await system.replace(program, after)
            await system.put_configuration()
            if number == len(programs) // 2:
                await system.drain_backend()
        await zones.cancel()
        assert versions(system) == {after}
        await system.order_at_each()
        await system.put_configuration()
        # From here on all processes are killed, and requests in flight end with them.
        assert system.lost() == []
        await system._recover()
        system.is_over = True
        for caller in callers:
            await caller.join()
        system._check_executions()

    curio.run(main)
    assert system.violations == []
    assert system.n_orders
    for program in system.controls + system.entries:
        log = (program.folder / "log").read_text()
        assert "Traceback" not in log, program.name
        assert "event=bad_command" not in log


@pytest.mark.parametrize("n_later", [1, 2])
def test_orders_are_accepted_at_each_replica_of_a_mixed_group(
    system, earlier_root, n_later
):
    """Guards against orders that fail at a replica since the leader is of the other
    version, in both directions."""

    async def main():
        for number, program in enumerate(system.controls):
            program.root = ROOT if number < n_later else earlier_root
            program.start(system.seeds, True)
        await system.put_configuration()
        assert system.acknowledged
        for paused in (None, *system.controls):
            # Each replica leads or follows in turn, as the others elect a leader.
            if paused is not None:
                paused.signal(signal.SIGSTOP)
                await curio.sleep(2.0)
                paused.signal(signal.SIGCONT)
            await system.order_at_each()

    curio.run(main)
    assert system.violations == []
