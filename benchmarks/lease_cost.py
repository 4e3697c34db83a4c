"""Measures the cost of each entry for the control leader: CPU time, bytes, memory.

Three control processes serve the lease renewals of a number of clients in this process,
which use the configuration client of the entry. Bytes are those of the TCP streams in
both directions, as counted by the kernel.

    python -m benchmarks.lease_cost --sizes 6 12 24 48
"""

from __future__ import annotations

import argparse
import struct
import tempfile
from pathlib import Path

import curio
from curio import socket

from pollenfold.entry.configuration import ConfigurationClient, EntryAddresses
from pollenfold.observe.clock import system_clock

from .cluster import Cluster, Topology
from .fits import fit_line, processor_s, resident_mb
from .processes import ProcessGroup

MEASURE_S = 6.0
SETTLE_S = 3.0
_BYTES_ACKED_OFFSET = 120
"""Offset of ``tcpi_bytes_acked`` in ``tcp_info``; ``tcpi_bytes_received`` follows."""


def stream_bytes(clients: list[ConfigurationClient]) -> int:
    """Return the bytes sent and received on the clients' connections."""
    total = 0
    for client in clients:
        for rpc in client._route._clients.values():
            if rpc._sock is None:
                continue
            info = rpc._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
            total += sum(struct.unpack_from("QQ", info, _BYTES_ACKED_OFFSET))
    return total


async def measure(cluster: Cluster, n_entries: int) -> dict[str, float]:
    """Return the cost at the busiest control replica for a number of entries."""
    control = [replica.replica_id for replica in cluster.control]
    addresses = [(r.host, r.peer_port) for r in cluster.control]
    process_ids = {name: cluster.group.processes[name].popen.pid for name in control}
    clients = [
        ConfigurationClient(
            f"entry-{n}",
            EntryAddresses("127.0.0.1", 1, 2, 3),
            "a",
            addresses,
            lambda: [],
            system_clock,
        )
        for n in range(n_entries)
    ]
    async with curio.TaskGroup(wait=None) as group:
        for client in clients:
            await group.spawn(client.run)
        await curio.sleep(SETTLE_S)
        before = {name: processor_s(pid) for name, pid in process_ids.items()}
        n_bytes = stream_bytes(clients)
        await curio.sleep(MEASURE_S)
        n_bytes = stream_bytes(clients) - n_bytes
        busiest_s = max(processor_s(process_ids[n]) - before[n] for n in control)
        n_leases = sum(client.has_lease(system_clock()) for client in clients)
        await group.cancel_remaining()
    return {
        "cpu_percent": busiest_s / MEASURE_S * 100,
        "bytes_per_s": n_bytes / MEASURE_S,
        "memory_mb": max(resident_mb(pid) for pid in process_ids.values()),
        "n_leases": n_leases,
    }


async def run(sizes: list[int]) -> None:
    """Print the cost at each size and the fits over the sizes."""
    topology = Topology(n_entries=max(sizes), n_backends_per_service=0)
    with tempfile.TemporaryDirectory() as folder:
        with ProcessGroup(Path(folder)) as group:
            cluster = Cluster(group, topology)
            await cluster.start_control()
            points: dict[str, list[tuple[float, float]]] = {}
            for n_entries in sizes:
                figures = await measure(cluster, n_entries)
                print(f"n_entries={n_entries}", end="")
                for name, value in figures.items():
                    print(f" {name}={value:.4g}", end="")
                    points.setdefault(name, []).append((n_entries, value))
                print(flush=True)
                # Lets these leases expire before the next size is measured.
                await curio.sleep(2.5)
    for name in ("cpu_percent", "bytes_per_s", "memory_mb"):
        print(fit_line(f"lease.{name}", "for each entry", points[name]))


def main() -> None:
    """Run with the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[6, 12, 24, 48])
    curio.run(run, parser.parse_args().sizes)


if __name__ == "__main__":
    main()
