"""Bodies that are still on their way when an entry's drain ends."""

from dataclasses import replace

import curio

from pollenfold.gateway import daemon
from pollenfold.http.request_reader import BODY_WINDOW_BYTES
from pollenfold.observe.clock import system_clock
from pollenfold.observe.signals import StopRequest
from pollenfold.tests.gateway.conftest import Backend
from pollenfold.tests.gateway.test_stop_notice import CONFIGURATION, ENDPOINT

N_BODY_BYTES = 2 * BODY_WINDOW_BYTES
UPLOAD_BYTES = 8 << 20
HEAD = (
    b"POST /x/1 HTTP/1.1\r\nhost: h\r\nx-request-id: q1\r\n"
    b"x-deadline-ms: 20000\r\ncontent-length: %d\r\n\r\n" % N_BODY_BYTES
)


def test_body_that_stalls_until_the_drain_ends_is_answered(gateway, run, monkeypatch):
    """Guards against a request that is passed on to an endpoint and ends without a
    response, since its body was still on its way when the drain ended."""
    monkeypatch.setattr(daemon, "STOP_NOTICE_MS", 300.0)
    gateway.settings = replace(gateway.settings, grace_ms=4_000.0)

    async def main():
        backend = Backend("i-1", delay_ms=30_000.0)
        await backend.start()
        gateway.view.configuration = CONFIGURATION
        endpoint = replace(ENDPOINT, port=backend.port)
        gateway.view.apply_announcements([(endpoint.encode(), 0.0)])
        port = await gateway.caller_server.start_on(gateway.settings.caller_listener)
        async with await curio.open_connection("127.0.0.1", port) as sock:
            await sock.sendall(HEAD + b"x" * (N_BODY_BYTES - 1_000))
            await curio.sleep(0.1)
            await daemon._drain(gateway, StopRequest("SIGTERM", system_clock()))
            async with curio.timeout_after(0.2):
                data = await sock.recv(65536)
            assert data.split(b" ")[1] == b"504", data
        assert gateway.caller_server.counts.n_unanswered == 0

    run(main)


def test_endpoint_that_reads_no_more_of_an_upload_is_given_up(
    gateway, run, monkeypatch
):
    """Guards against an endpoint that stops reading an upload, whose timeout still ends
    at the caller's deadline: the process ended without an answer."""
    monkeypatch.setattr(daemon, "STOP_NOTICE_MS", 300.0)
    gateway.settings = replace(gateway.settings, grace_ms=1_500.0)
    is_stalled = curio.Event()

    async def stall(sock, address):
        await sock.recv(100)
        await is_stalled.set()
        await curio.sleep(3600)

    async def main():
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        listener.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_RCVBUF, 4096)
        await curio.spawn(curio.network.run_server, listener, stall, daemon=True)
        limits = replace(CONFIGURATION.limits, body_bytes=UPLOAD_BYTES)
        gateway.view.configuration = replace(CONFIGURATION, limits=limits)
        endpoint = replace(ENDPOINT, port=listener.getsockname()[1])
        gateway.view.apply_announcements([(endpoint.encode(), 0.0)])
        port = await gateway.caller_server.start_on(gateway.settings.caller_listener)
        async with await curio.open_connection("127.0.0.1", port) as sock:
            upload = HEAD.replace(b"%d" % N_BODY_BYTES, b"%d" % UPLOAD_BYTES)
            sending = await curio.spawn(
                sock.sendall, upload + b"x" * UPLOAD_BYTES, daemon=True
            )
            await is_stalled.wait()
            await curio.sleep(0.1)
            started_at = system_clock()
            await daemon._drain(gateway, StopRequest("SIGTERM", started_at))
            assert system_clock() - started_at < 1_500.0
            async with curio.timeout_after(0.3):
                data = await sock.recv(65536)
            await sending.cancel()
            assert data.split(b" ")[1] == b"504", data
        assert gateway.caller_server.counts.n_unanswered == 0

    run(main)
