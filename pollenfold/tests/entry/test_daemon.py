"""The entry daemon of the own interface: how it ends."""

import curio
import pytest

from pollenfold.entry import daemon
from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Response
from pollenfold.settings import EntrySettings, load_settings
from pollenfold.testing.ports import unused_port


@pytest.fixture
def settings():
    port = unused_port()
    flags = {
        "entry_id": "e1",
        "zone": "a",
        "host": "127.0.0.1",
        "caller_port": str(unused_port()),
        "platform_port": str(unused_port()),
        "peer_port": str(unused_port()),
        "control": f"c1=127.0.0.1:{port}",
        "ledger": f"l1=127.0.0.1:{port}",
        "token": "secret",
        "drain_notice_ms": "200",
    }
    return load_settings(EntrySettings, flags).ok


def test_failed_task_cuts_off_no_request(run, settings, monkeypatch):
    """Guards against an entry that resets the requests in flight when one of its tasks
    fails."""
    is_handling = curio.Event()
    failure = KeyError("no such service")

    async def handle(self, request):
        await is_handling.set()
        await curio.sleep(0.4)
        return Response(200, [], b"done")

    async def fail(self):
        await is_handling.wait()
        raise failure

    monkeypatch.setattr(daemon.Proxy, "handle", handle)
    monkeypatch.setattr(daemon.Prober, "run", fail)

    async def serve():
        with pytest.raises(KeyError) as raised:
            await daemon.serve_entry(settings)
        assert raised.value is failure

    async def call():
        while True:
            try:
                connection = await HttpConnection.open(
                    "127.0.0.1", settings.caller_port
                )
            except OSError:
                await curio.sleep(0.01)
                continue
            headers = [(b"host", b"h")]
            result = await connection.exchange(b"GET", b"/x", headers, b"", 5_000)
            await connection.close()
            return result

    async def main():
        caller = await curio.spawn(call)
        await serve()
        # The process ends now.
        assert caller.terminated
        assert caller.result.ok.body == b"done"

    run(main)
