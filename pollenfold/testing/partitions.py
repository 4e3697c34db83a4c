"""Runs the ``pollenfold`` program with simulated network partitions of its RPCs.

``python -m pollenfold.testing.partitions FILE entry --entry-id=e1 ...`` runs
``pollenfold entry --entry-id=e1 ...``. Each line of FILE is an address prefix: RPCs to
hosts that match it get no response as long as the line is in the file. With the line
``inbound``, RPCs from other processes get no response. HTTP requests of callers and
announcements aren't affected.
"""

from __future__ import annotations

import sys
from pathlib import Path

import curio
from expression import Error, Result

from ..cli.main import main
from ..core.errors import ErrorKind
from ..wire.frames import Protocol
from ..wire.rpc import RpcClient, RpcServer

INBOUND = "inbound"


def read_partitions(path: Path) -> set[str]:
    """Return the lines of the file; a missing file means no partition."""
    try:
        return set(path.read_text().split())
    except FileNotFoundError:
        return set()


def install_partitions(path: Path) -> None:
    """Patch the RPC client and server of this process to apply the file."""
    original_call = RpcClient.call
    original_handler = RpcServer._handle_request

    def is_partitioned(client: RpcClient) -> bool:
        prefixes = read_partitions(path) - {INBOUND}
        return any(client.host.startswith(prefix) for prefix in prefixes)

    async def partitioned_call(
        self: RpcClient, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        if not is_partitioned(self):
            result = await original_call(self, protocol, payload, timeout_ms)
            # A response that arrives after the start of the partition is lost too.
            if not is_partitioned(self):
                return result
        await curio.sleep(timeout_ms / 1000)
        return Error(ErrorKind.UNREACHABLE)

    async def partitioned_handler(self, *args):  # type: ignore[no-untyped-def]
        if INBOUND not in read_partitions(path):
            await original_handler(self, *args)

    RpcClient.call = partitioned_call  # type: ignore[method-assign]
    RpcServer._handle_request = partitioned_handler  # type: ignore[method-assign]


if __name__ == "__main__":
    install_partitions(Path(sys.argv.pop(1)))
    sys.exit(main())
