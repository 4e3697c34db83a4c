"""Cost of a claim on three replica processes on loopback.

``python -m benchmarks.ledger_cost`` prints ``name=value`` lines for each number of
stored keys. As baselines from the same run it prints the round trip of a request
without a sync, and the time of a sync alone. All processes share one machine, so
latencies include contention for its cores.
"""

from __future__ import annotations

import argparse
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio
from hdrh.histogram import HdrHistogram

from pollenfold.core.claims import Claimed
from pollenfold.core.register import Outcome
from pollenfold.ledger.client import LedgerClient
from pollenfold.ledger.daemon import serve_ledger
from pollenfold.observe.clock import system_clock
from pollenfold.observe.logs import configure_logs
from pollenfold.settings import LedgerSettings
from pollenfold.wire.frames import HEADER_BYTES, Protocol
from pollenfold.wire.ledger import StatusRequest, decode_response, encode_request
from pollenfold.wire.rpc import RpcClient

NAMES = ("a", "b", "c")
SIZES = (1_000, 5_000, 20_000)
N_LATENCY_CLAIMS = 1_000
N_IN_FLIGHT = 32
N_WARM_UP = 200
START_LIMIT_S = 10
OUTCOME = Outcome(200, ((b"content-type", b"application/json"),), b"x" * 200)


class CountingClient(LedgerClient):
    """A client that counts the bytes of its frames in both directions."""

    n_bytes = 0

    async def _ask(self, index, payload):
        replica = self._replicas[index]
        result = await replica.call(Protocol.LEDGER, payload, 1000)
        n_response_bytes = len(result.ok) if result.is_ok() else 0
        self.n_bytes += 2 * HEADER_BYTES + len(payload) + n_response_bytes
        return self._decode(result)


def free_ports(n: int) -> list[int]:
    """Return free ports assigned by the kernel."""
    socks = [socket.socket() for _ in range(n)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    n_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return n_pages * os.sysconf("SC_PAGE_SIZE")


def report(name: str, value: float, digits: int = 3) -> None:
    """Print one figure."""
    print(f"{name}={value:.{digits}f}", flush=True)


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to 10 s."""
    return HdrHistogram(1, 10_000_000, 3)


async def record_duration(histogram: HdrHistogram, function, *args):
    """Await the call and record how long it took."""
    started = time.perf_counter_ns()
    result = await function(*args)
    histogram.record_value((time.perf_counter_ns() - started) // 1000)
    return result


def report_latency(name: str, histogram: HdrHistogram) -> None:
    """Print the median and the 99th percentile in milliseconds."""
    for percentile in (50, 99):
        value_ms = histogram.get_value_at_percentile(percentile) / 1000
        report(f"{name}_p{percentile}_ms", value_ms)


async def claim_keys(client: LedgerClient, first: int, last: int) -> None:
    """Claim the keys ``first`` to ``last`` - 1, ``N_IN_FLIGHT`` at a time."""

    async def claim_every_nth_key(offset: int) -> None:
        for n in range(first + offset, last, N_IN_FLIGHT):
            claim_result = await client.claim(f"key-{n:010}", f"claim-{n:010}", 5000)
            if claim_result != Claimed():
                raise SystemExit(f"expected a claim of key {n}, got {claim_result}")

    async with curio.TaskGroup() as group:
        for offset in range(N_IN_FLIGHT):
            await group.spawn(claim_every_nth_key, offset)


async def measure_baseline(address: tuple[str, int], folder: Path) -> None:
    """Print the latency of a round trip without a sync, and of a sync alone."""
    peer = RpcClient(*address)
    payload = encode_request("", StatusRequest())
    calls, syncs = new_histogram(), new_histogram()
    for _ in range(N_LATENCY_CLAIMS):
        await record_duration(calls, peer.call, Protocol.LEDGER, payload, 1000)
    await peer.close()
    with (folder / "sync").open("wb", buffering=0) as file:
        for _ in range(N_LATENCY_CLAIMS):
            file.write(b"x" * 200)
            started = time.perf_counter_ns()
            os.fsync(file.fileno())
            syncs.record_value(max(1, (time.perf_counter_ns() - started) // 1000))
    report_latency("baseline_round_trip", calls)
    report_latency("baseline_sync", syncs)


async def measure_size(
    client: CountingClient, pids: list[int], start: int, size: int
) -> None:
    """Print throughput and cost of claims up to ``size`` keys, then the latency."""
    n_claims = size - start
    replica_cpu_s = sum(map(cpu_s, pids))
    memory_bytes = sum(map(resident_bytes, pids))
    client_cpu_s, started = time.process_time(), time.perf_counter()
    client.n_bytes = 0
    await claim_keys(client, start, size)
    report(f"claims_per_s_{size}", n_claims / (time.perf_counter() - started), 0)
    entry_ms = 1000 * (time.process_time() - client_cpu_s) / n_claims
    replica_ms = 1000 * (sum(map(cpu_s, pids)) - replica_cpu_s) / n_claims
    report(f"entry_cpu_per_claim_ms_{size}", entry_ms)
    report(f"replica_cpu_per_claim_ms_{size}", replica_ms / len(pids))
    report(f"network_bytes_per_claim_{size}", client.n_bytes / n_claims, 0)
    grown_bytes = sum(map(resident_bytes, pids)) - memory_bytes
    report(f"memory_bytes_per_key_{size}", grown_bytes / len(pids) / n_claims, 0)
    claims, completions = new_histogram(), new_histogram()
    for n in range(N_LATENCY_CLAIMS):
        key, claim_id = f"slow-{size}-{n}", f"claim-{n}"
        await record_duration(claims, client.claim, key, claim_id, 5000)
        await record_duration(completions, client.complete, key, claim_id, OUTCOME)
    report_latency(f"claim_{size}", claims)
    report_latency(f"complete_{size}", completions)


async def wait_until_voting(peer: RpcClient) -> None:
    """Poll the status of a replica until it is not blank."""
    payload = encode_request("", StatusRequest())
    while True:
        result = await peer.call(Protocol.LEDGER, payload, 1000)
        if result.is_ok() and not decode_response(result.ok)[1].is_blank:
            break
        await curio.sleep(0.05)
    await peer.close()


async def measure(
    addresses: dict[str, tuple[str, int]], pids: list[int], folder: Path, sizes
) -> None:
    """Wait until the replicas are not blank, then measure every size."""
    client = CountingClient(addresses, "benchmark", system_clock)
    async with curio.timeout_after(START_LIMIT_S):
        for address in addresses.values():
            await wait_until_voting(RpcClient(*address))
    await claim_keys(client, 0, N_WARM_UP)
    await measure_baseline(addresses["a"], folder)
    start = N_WARM_UP
    for size in sizes:
        await measure_size(client, pids, start, size)
        journal_bytes = (folder / "a" / "registers").stat().st_size
        n_entries = size + (sizes.index(size) + 1) * 3 * N_LATENCY_CLAIMS
        report(f"journal_bytes_per_change_{size}", journal_bytes / n_entries, 0)
        start = size
    await client.close()


def run_replica(name: str, ports: list[int], folder: Path) -> None:
    """Serve one replica until SIGTERM."""
    configure_logs("ledger", "WARNING")
    peers = {
        other: ("127.0.0.1", port) for other, port in zip(NAMES, ports, strict=True)
    }
    settings = LedgerSettings(
        replica_id=name, host="127.0.0.1", peers=peers, data_folder=folder / name
    )
    curio.run(serve_ledger, settings)


def main() -> None:
    """Start the replicas, measure, and stop them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--replica", choices=NAMES, help=argparse.SUPPRESS)
    parser.add_argument("--ports", type=int, nargs="+", help=argparse.SUPPRESS)
    parser.add_argument("--folder", type=Path, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.replica:
        run_replica(options.replica, options.ports, options.folder)
        return
    folder = Path(tempfile.mkdtemp(prefix="ledger-cost-"))
    ports = free_ports(len(NAMES))
    command = [sys.executable, "-m", "benchmarks.ledger_cost"]
    arguments = ["--folder", str(folder), "--ports", *map(str, ports)]
    processes = [
        subprocess.Popen([*command, "--replica", name, *arguments]) for name in NAMES
    ]
    try:
        addresses = {
            name: ("127.0.0.1", port) for name, port in zip(NAMES, ports, strict=True)
        }
        pids = [process.pid for process in processes]
        curio.run(measure, addresses, pids, folder, options.sizes)
    finally:
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            process.wait(10)
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
