"""The ledger daemon: one replica that listens on its peer port."""

from __future__ import annotations

import signal
import socket
import time
from dataclasses import dataclass
from pathlib import Path

import curio
from loguru import logger

from ..core.clock import Instant
from ..wire.frames import Protocol
from ..wire.rpc import RpcServer
from .replica import LedgerReplica


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Settings of one replica; ``peers`` has the addresses of the others by id."""

    replica_id: str
    peers: dict[str, tuple[str, int]]
    data_folder: Path
    host: str
    port: int


def wall_clock() -> Instant:
    """Return the time of day in milliseconds, for ages that outlive the process."""
    return Instant(time.time() * 1000)


async def _wait_for_sigterm() -> None:
    """Return after SIGTERM; curio has no signal handling of its own."""
    receiver, sender = socket.socketpair()
    sender.setblocking(False)
    previous = signal.signal(signal.SIGTERM, lambda *_: sender.send(b"\0"))
    try:
        async with curio.io.Socket(receiver) as waiting:
            await waiting.recv(1)
    finally:
        signal.signal(signal.SIGTERM, previous)
        sender.close()


async def serve_ledger(settings: LedgerSettings) -> None:
    """Serve one ledger replica until SIGTERM.

    Raise ValueError when the data folder belongs to another replica, and OSError
    when it can't be written or the address is taken.
    """
    replica = LedgerReplica(
        settings.replica_id, settings.peers, settings.data_folder, wall_clock
    )
    server = RpcServer({Protocol.LEDGER: replica.answer})
    sock = curio.tcp_server_socket(settings.host, settings.port)
    logger.info(
        "event=ledger_listening replica={} port={}",
        settings.replica_id,
        sock.getsockname()[1],
    )
    listener = await curio.spawn(curio.network.run_server, sock, server.handle)
    worker = await curio.spawn(replica.run)
    await _wait_for_sigterm()
    await listener.cancel()
    await worker.cancel()
    await replica.close()
    logger.info("event=ledger_stopped replica={}", settings.replica_id)
