"""Measures the cost of three control replicas on loopback, idle and per change.

All replicas run in this one process, so the CPU share of one replica is a third of
the process. Bytes are the frames of both directions, without TCP and IP headers.

    python -m benchmarks.agreement_cost --idle-s 10 --changes 500
"""

from __future__ import annotations

import argparse
import os
import tempfile
import time
from pathlib import Path

import curio
from loguru import logger

from pollenfold.control.replica import Replica
from pollenfold.observe.clock import system_clock
from pollenfold.testing.listening import listening_socket
from pollenfold.wire.frames import HEADER_BYTES, Protocol
from pollenfold.wire.rpc import RpcServer

N_REPLICAS = 3


class ByteCounter:
    """Counts the bytes of all requests and responses."""

    def __init__(self) -> None:
        self.n_bytes = 0

    def wrap(self, handle):
        """Return a handler that also counts the bytes of each exchange."""

        async def handle_and_count(payload: bytes) -> bytes:
            response = await handle(payload)
            self.n_bytes += len(payload) + len(response) + 2 * HEADER_BYTES
            return response

        return handle_and_count


async def start_replicas(folder: Path, counter: ByteCounter) -> list[Replica]:
    """Start the replicas on ports assigned by the kernel."""
    sockets = [listening_socket("127.0.0.1", 0) for _ in range(N_REPLICAS)]
    peers = {str(i): sock.getsockname() for i, sock in enumerate(sockets)}
    replicas = []
    for seed, (replica_id, sock) in enumerate(zip(peers, sockets, strict=True)):
        replica = Replica(
            replica_id,
            peers,
            folder / replica_id,
            lambda index, command: None,
            lambda: b"",
            lambda data: None,
            system_clock,
            seed,
        )
        server = RpcServer({Protocol.AGREEMENT: counter.wrap(replica.handle)})
        await curio.spawn(curio.network.run_server, sock, server.handle, daemon=True)
        await curio.spawn(replica.run, daemon=True)
        replicas.append(replica)
    return replicas


async def wait_for_leader(replicas: list[Replica]) -> Replica:
    """Poll the replicas until one is the leader, and return it."""
    while True:
        for replica in replicas:
            if replica.is_leader():
                return replica
        await curio.sleep(0.02)


async def measure(folder: Path, idle_s: float, n_changes: int) -> None:
    """Print the cost of an idle period and of a sequence of changes."""
    counter = ByteCounter()
    started_at = time.monotonic()
    leader = await wait_for_leader(await start_replicas(folder, counter))
    print(f"first_leader_ms={(time.monotonic() - started_at) * 1000:.0f}")
    cpu_s, n_bytes = time.process_time(), counter.n_bytes
    await curio.sleep(idle_s)
    share = (time.process_time() - cpu_s) / idle_s / N_REPLICAS
    print(f"idle_cpu_percent_per_replica={100 * share:.2f}")
    rate = (counter.n_bytes - n_bytes) / idle_s
    print(f"idle_bytes_per_s_cluster={rate:.0f}")
    cpu_s, n_bytes = time.process_time(), counter.n_bytes
    latencies_ms = []
    for _ in range(n_changes):
        started_at = time.monotonic()
        result = await leader.propose(os.urandom(512), 1000)
        if result.is_error():
            raise SystemExit(f"change failed: {result.error.value}")
        latencies_ms.append((time.monotonic() - started_at) * 1000)
    latencies_ms.sort()
    cpu_ms = (time.process_time() - cpu_s) * 1000 / n_changes
    print(f"change_cpu_ms_cluster={cpu_ms:.2f}")
    print(f"change_bytes_cluster={(counter.n_bytes - n_bytes) / n_changes:.0f}")
    print(f"change_latency_ms_median={latencies_ms[n_changes // 2]:.2f}")
    print(f"change_latency_ms_max={latencies_ms[-1]:.2f}")


def main() -> None:
    """Run the measurement with the given arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--idle-s", type=float, default=10.0)
    parser.add_argument("--changes", type=int, default=500)
    arguments = parser.parse_args()
    logger.remove()
    with tempfile.TemporaryDirectory() as folder:
        curio.run(measure, Path(folder), arguments.idle_s, arguments.changes)


if __name__ == "__main__":
    main()
