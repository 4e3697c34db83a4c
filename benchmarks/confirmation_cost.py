"""Cost of confirming the configuration to entries that start together.

Three control replicas run in this process. 12, 117 and 312 entries ask them at the same
moment, spread evenly. Printed for each number: rounds of all replicas together, log
entries written, and the time until the last entry has its confirmation; then the same
for the baseline, in which each entry has its own no-op committed to the log.

    python -m benchmarks.confirmation_cost
"""

from __future__ import annotations

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
from curio import socket

from pollenfold.control.cluster import ClusterNode, ClusterSettings
from pollenfold.observe.clock import system_clock
from pollenfold.testing.ports import unused_port
from pollenfold.wire.connections import open_connection
from pollenfold.wire.lines import encode_line

N_ENTRIES = (12, 117, 312)
N_REPLICAS = 3
FORM_TIMEOUT_S = 20.0
READ_TIMEOUT_MS = 10_000.0
READ_BYTES = 64 * 1024

Ask = Callable[[ClusterNode, socket.socket], Awaitable[None]]


async def start_nodes(folder: Path) -> list[ClusterNode]:
    """Start the replicas; return when all of them are voters."""
    hosts = [f"127.0.0.{number + 1}" for number in range(N_REPLICAS)]
    peer_port, feed_port = unused_port(), unused_port()
    nodes = []
    for host in hosts:
        settings = ClusterSettings(
            name=host,
            zone="a",
            host=host,
            peer_port=peer_port,
            feed_port=feed_port,
            api_host=host,
            api_port=0,
            metrics_port=0,
            data_folder=folder / host,
            seeds=lambda: hosts,
            reload=lambda: None,
            is_founder=host == hosts[0],
            n_members=N_REPLICAS,
        )
        node = ClusterNode(settings)
        await curio.spawn(node.rpc.serve, host, peer_port, daemon=True)
        await curio.spawn(node.feed_server.serve, host, feed_port, daemon=True)
        tasks = (
            node.replica.run,
            node.feed_server.run,
            node.feed_server.run_confirmations,
            node.feeds.run,
            node.join,
        )
        for task in tasks:
            await curio.spawn(task, daemon=True)
        nodes.append(node)
    async with curio.timeout_after(FORM_TIMEOUT_S):
        while any(len(node.replica.voters()) < N_REPLICAS for node in nodes):
            await curio.sleep(0.02)
    return nodes


async def connect(node: ClusterNode, number: int) -> socket.socket:
    """Return an open feed of an entry."""
    settings = node.settings
    sock = await open_connection(settings.host, settings.feed_port)
    hello = {"name": f"e{number}", "zone": "a", "role": "entry", "news": 0}
    await sock.sendall(encode_line(hello))
    return sock


async def ask_feed(node: ClusterNode, sock: socket.socket) -> None:
    """Ask for a confirmation as an entry does, and wait for the response."""
    await sock.sendall(encode_line({"confirm": 1}))
    data = b""
    while b'"confirmed"' not in data:
        data += await sock.recv(READ_BYTES)


async def commit_barrier(node: ClusterNode, sock: socket.socket) -> None:
    """Have a no-op committed, and repeat it until that succeeds."""
    while (await node.cluster_state.read(READ_TIMEOUT_MS)).is_error():
        await curio.sleep(0.05)


async def measure(nodes: list[ClusterNode], n_entries: int, ask: Ask) -> None:
    """Let all entries ask at once, and print what it took."""
    socks = [
        await connect(nodes[number % len(nodes)], number) for number in range(n_entries)
    ]
    n_rounds = sum(node.feed_server.n_confirmation_rounds for node in nodes)
    first_index = max(node.replica.applied_index() for node in nodes)
    started_at = system_clock()
    tasks = [
        await curio.spawn(ask, nodes[number % len(nodes)], sock)
        for number, sock in enumerate(socks)
    ]
    for task in tasks:
        await task.join()
    elapsed_ms = system_clock() - started_at
    for sock in socks:
        await sock.close()
    n_rounds = sum(node.feed_server.n_confirmation_rounds for node in nodes) - n_rounds
    n_written = max(node.replica.applied_index() for node in nodes) - first_index
    print(
        f"way={ask.__name__} entries={n_entries} rounds={n_rounds} "
        f"log_entries={n_written} last_ms={elapsed_ms:.0f}"
    )


async def run() -> None:
    """Measure both ways for each number of entries."""
    with tempfile.TemporaryDirectory() as folder:
        nodes = await start_nodes(Path(folder))
        for n_entries in N_ENTRIES:
            for ask in (ask_feed, commit_barrier):
                await measure(nodes, n_entries, ask)


if __name__ == "__main__":
    curio.run(run)
