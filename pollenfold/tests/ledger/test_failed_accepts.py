"""A ledger daemon that fails to accept a connection."""

import errno
import os

import curio
import pytest

from pollenfold.ledger.daemon import LedgerReplica, serve_ledger
from pollenfold.tests.ledger.test_daemon import handlers, settings
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcClient
from pollenfold.wire.sockets import Socket

__all__ = ["handlers", "settings"]


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ECONNABORTED])
def test_failed_accept_ends_no_later_one(run, settings, monkeypatch, number):  # noqa: F811
    """Guards against a replica that accepts no connection any more, and lives on, since
    a caller reset one or no descriptor was left for a moment."""
    n_accepts = 0
    accept = Socket.accept

    async def fail_once(self):
        nonlocal n_accepts
        n_accepts += 1
        if n_accepts == 2:
            raise OSError(number, os.strerror(number))
        return await accept(self)

    async def echo(self, payload):
        return payload

    monkeypatch.setattr(Socket, "accept", fail_once)
    monkeypatch.setattr(LedgerReplica, "handle_request", echo)

    async def main():
        daemon = await curio.spawn(serve_ledger, settings, daemon=True)
        await curio.sleep(0.1)
        first = RpcClient(*settings.peers["l1"])
        assert (await first.call(Protocol.LEDGER, b"a", 1_000)).is_ok()
        second = RpcClient(*settings.peers["l1"])
        result = await second.call(Protocol.LEDGER, b"b", 1_000)
        is_running = not daemon.terminated
        await first.close()
        await second.close()
        await daemon.cancel()
        assert is_running
        assert result.is_ok()

    run(main)
