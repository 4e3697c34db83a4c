"""Runs the ``pollenfold`` program with cuts in its own transport.

``python -m pollenfold.testing.cuts FILE entry --entry-id=e1 ...`` runs ``pollenfold
entry --entry-id=e1 ...``. Each line of FILE is the start of an address: calls to such
hosts get no response while the line is there. The line ``inbound`` leaves all calls
of other processes without a response. Callers and announcements are not cut.
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


def read_cuts(path: Path) -> set[str]:
    """Return the lines of the file; a missing file cuts nothing."""
    try:
        return set(path.read_text().split())
    except FileNotFoundError:
        return set()


def install(path: Path) -> None:
    """Make the calls of this process obey the file."""
    call = RpcClient.call
    answer = RpcServer._answer

    def is_cut(client: RpcClient) -> bool:
        cuts = read_cuts(path) - {INBOUND}
        return any(client.host.startswith(start) for start in cuts)

    async def cut_call(
        self: RpcClient, protocol: Protocol, payload: bytes, timeout_ms: float
    ) -> Result[bytes, ErrorKind]:
        if not is_cut(self):
            result = await call(self, protocol, payload, timeout_ms)
            # A response that arrives after the cut is lost as well.
            if not is_cut(self):
                return result
        await curio.sleep(timeout_ms / 1000)
        return Error(ErrorKind.UNREACHABLE)

    async def cut_answer(self, *args):  # type: ignore[no-untyped-def]
        if INBOUND not in read_cuts(path):
            await answer(self, *args)

    RpcClient.call = cut_call  # type: ignore[method-assign]
    RpcServer._answer = cut_answer  # type: ignore[method-assign]


if __name__ == "__main__":
    install(Path(sys.argv.pop(1)))
    sys.exit(main())
