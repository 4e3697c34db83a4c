"""The ledger daemon: how it ends."""

import os
import signal

import curio
import pytest

from pollenfold.ledger.daemon import LedgerReplica, serve_ledger
from pollenfold.settings import LedgerSettings, load_settings
from pollenfold.testing.ports import unused_port
from pollenfold.tests.observe.conftest import handlers
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcClient

__all__ = ["handlers"]


@pytest.fixture
def settings(tmp_path):
    flags = {
        "replica_id": "l1",
        "host": "127.0.0.1",
        "peers": f"l1=127.0.0.1:{unused_port()}",
        "data_folder": str(tmp_path),
    }
    return load_settings(LedgerSettings, flags).ok


@pytest.mark.parametrize("ends_by", ["signal", "failure"])
def test_end_of_the_daemon_cuts_off_no_request(run, settings, monkeypatch, ends_by):
    """Guards against a claim that is granted and whose reply is cut off, since the
    daemon stops or one of its tasks fails."""
    is_handling = curio.Event()
    failure = KeyError("no such register")

    async def handle_slowly(self, payload):
        await is_handling.set()
        await curio.sleep(0.3)
        return payload

    async def run_until_handling(self):
        await is_handling.wait()
        if ends_by == "failure":
            raise failure
        os.kill(os.getpid(), signal.SIGTERM)
        await curio.sleep(3600)

    monkeypatch.setattr(LedgerReplica, "handle_request", handle_slowly)
    monkeypatch.setattr(LedgerReplica, "run", run_until_handling)

    async def serve():
        if ends_by == "signal":
            await serve_ledger(settings)
            return
        with pytest.raises(KeyError) as raised:
            await serve_ledger(settings)
        assert raised.value is failure

    async def call():
        while True:
            client = RpcClient(*settings.peers["l1"])
            result = await client.call(Protocol.LEDGER, b"claim", 5_000)
            await client.close()
            if result.is_ok() or is_handling.is_set():
                return result
            await curio.sleep(0.01)

    async def main():
        caller = await curio.spawn(call)
        await serve()
        # The process ends now.
        await curio.sleep(0.01)
        assert caller.terminated
        assert caller.result.is_ok()
        assert caller.result.ok == b"claim"

    run(main)
