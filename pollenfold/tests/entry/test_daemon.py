"""The entry daemon of the own interface: how it ends."""

import os
import signal

import curio
import pytest

from pollenfold.entry import daemon
from pollenfold.http import listener
from pollenfold.http.client import HttpConnection
from pollenfold.http.messages import Response
from pollenfold.settings import EntrySettings, load_settings
from pollenfold.testing.ports import unused_port
from pollenfold.tests.observe.conftest import handlers

__all__ = ["handlers"]


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


def test_stop_cuts_off_no_request_of_the_platform(run, settings, monkeypatch):
    """Guards against an announcement that is accepted, and whose response is cut off
    since the entry stops."""
    is_handling = curio.Event()
    settings = settings.model_copy(update={"drain_notice_ms": 0.0})

    async def handle(self, request):
        await is_handling.set()
        await curio.sleep(0.4)
        return Response(200, [], b"announced")

    monkeypatch.setattr(daemon.AnnouncementHandler, "handle", handle)

    async def call():
        while True:
            try:
                connection = await HttpConnection.open(
                    "127.0.0.1", settings.platform_port
                )
            except OSError:
                await curio.sleep(0.01)
                continue
            path, headers = b"/v1/announcements", [(b"host", b"h")]
            result = await connection.exchange(b"POST", path, headers, b"{}", 5_000)
            await connection.close()
            return result

    async def stop():
        await is_handling.wait()
        os.kill(os.getpid(), signal.SIGTERM)

    async def main():
        caller = await curio.spawn(call)
        await curio.spawn(stop, daemon=True)
        await daemon.serve_entry(settings)
        # The process ends now.
        await curio.sleep(0.01)
        assert caller.terminated
        assert caller.result.ok.body == b"announced"

    run(main)


def test_stop_is_not_held_by_a_request_of_the_platform(run, settings, monkeypatch):
    """Guards against an entry that never ends, since an announcement is never
    answered."""
    is_handling = curio.Event()
    monkeypatch.setattr(daemon, "PLATFORM_WAIT_MS", 100.0)
    settings = settings.model_copy(update={"drain_notice_ms": 0.0})

    async def handle(self, request):
        await is_handling.set()
        await curio.sleep(3600)

    monkeypatch.setattr(daemon.AnnouncementHandler, "handle", handle)

    async def main():
        entry = await curio.spawn(daemon.serve_entry, settings)
        await curio.sleep(0.3)
        address = ("127.0.0.1", settings.platform_port)
        async with await curio.open_connection(*address) as sock:
            await sock.sendall(b"GET /v1/announcements HTTP/1.1\r\nhost: h\r\n\r\n")
            await is_handling.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            async with curio.timeout_after(5):
                await entry.join()

    run(main)


@pytest.mark.parametrize("busy", ["caller_port", "platform_port", "peer_port"])
def test_entry_whose_port_is_busy_accepts_nothing(run, settings, monkeypatch, busy):
    """Guards against an entry that accepts announcements or calls, finds that it lacks
    another address, and ends: what it had accepted was reset."""
    listening = []

    def start_listening(sock):
        listening.append(sock.getsockname()[1])
        sock.listen(1)

    monkeypatch.setattr(listener, "start_listening", start_listening)
    monkeypatch.setattr(daemon, "start_listening", start_listening)
    monkeypatch.setattr(listener, "BUSY_WAIT_MS", 60.0)

    async def main():
        with pytest.raises(OSError, match="in use"):
            await daemon.serve_entry(settings)

    with listener.open_listener("127.0.0.1", getattr(settings, busy)):
        listening.clear()
        run(main)
    assert listening == []


def test_entry_that_is_stopped_while_it_waits_for_a_port_ends(
    run, settings, monkeypatch
):
    """Guards against a stop signal that is taken for a failure, or waits for the
    port."""

    def wait(seconds):
        os.kill(os.getpid(), signal.SIGTERM)

    monkeypatch.setattr(listener.time, "sleep", wait)
    with listener.open_listener("127.0.0.1", settings.caller_port):
        run(daemon.serve_entry, settings)
