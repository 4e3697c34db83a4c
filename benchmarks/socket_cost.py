"""Measures what a wait on a socket costs, for curio's sockets and for our own.

Two tasks send one byte to and fro, so that each receive waits. The kinds alternate.

    python -m benchmarks.socket_cost --rounds 5
"""

from __future__ import annotations

import argparse
import socket
import statistics
import time
from collections.abc import Callable
from typing import Any

import curio
from curio.io import Socket as CurioSocket

from pollenfold.wire.sockets import Socket

N_EXCHANGES = 20_000
KINDS: dict[str, Callable[[socket.socket], Any]] = {
    "curio": CurioSocket,
    "own": Socket,
}


async def exchange_bytes(kind: str) -> float:
    """Return the processor time of one receive that waits, in us."""
    first, second = map(KINDS[kind], socket.socketpair())

    async def respond() -> None:
        while data := await second.recv(1):
            await second.sendall(data)

    responder = await curio.spawn(respond)
    start_s = time.process_time()
    for _ in range(N_EXCHANGES):
        await first.sendall(b"x")
        await first.recv(1)
    used_s = time.process_time() - start_s
    await first.close()
    await responder.join()
    await second.close()
    return used_s / (2 * N_EXCHANGES) * 1e6


def main() -> None:
    """Print the median and the range of each kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    costs: dict[str, list[float]] = {kind: [] for kind in KINDS}
    for _ in range(parser.parse_args().rounds):
        for kind, measured in costs.items():
            measured.append(curio.run(exchange_bytes, kind))
    for kind, measured in costs.items():
        median = statistics.median(measured)
        print(
            f"socket.{kind}.wait_us={median:.1f} "
            f"min={min(measured):.1f} max={max(measured):.1f} n={len(measured)}"
        )


if __name__ == "__main__":
    main()
