"""The ledger daemon, which runs one replica and listens on its peer port."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio
from loguru import logger

from ..core.clock import Instant
from ..http.listener import open_listener
from ..observe.logs import refuse_reload
from ..observe.signals import Signals
from ..wire.frames import Protocol
from ..wire.rpc import RpcServer
from .replica import LedgerReplica

if TYPE_CHECKING:
    from ..settings import LedgerSettings


STOP_WAIT_MS = 1_500.0
"""How long a stopping replica waits for the requests that it has read."""


def wall_clock() -> Instant:
    """Return the system time in milliseconds, for ages that must survive a restart."""
    return Instant(time.time() * 1000)


async def serve_ledger(settings: LedgerSettings) -> None:
    """Serve one ledger replica until SIGTERM.

    Raise ValueError when the data folder belongs to another replica, and OSError
    when the folder is not writable or the address is in use.
    """
    with Signals() as signals:
        await _serve_ledger(settings, signals)


async def _serve_ledger(settings: LedgerSettings, signals: Signals) -> None:
    others = dict(settings.peers)
    port = others.pop(settings.replica_id)[1]
    replica = LedgerReplica(
        settings.replica_id, others, settings.data_folder, wall_clock
    )
    server = RpcServer({Protocol.LEDGER: replica.handle_request})
    listener = open_listener(settings.host, port)
    logger.info(
        "event=ledger_listening replica={} port={}",
        settings.replica_id,
        listener.getsockname()[1],
    )
    async with curio.TaskGroup(wait=None) as group:
        stop = await group.spawn(signals.wait_for_stop, refuse_reload)
        await group.spawn(server.serve_on, listener)
        await group.spawn(replica.run)
        first_done = await group.next_done()
        n_unanswered = await server.stop(STOP_WAIT_MS)
        await group.cancel_remaining()
    await replica.close()
    if first_done is not stop:
        raise first_done.exception or RuntimeError("a task ended unexpectedly")
    logger.info(
        "event=ledger_stopped replica={} n_unanswered={}",
        settings.replica_id,
        n_unanswered,
    )
