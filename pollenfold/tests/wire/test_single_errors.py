"""A server of peers while one connection raises an error."""

import curio

from pollenfold.http.listener import open_listener
from pollenfold.tests.http.test_stop_errors import every_error
from pollenfold.wire import rpc
from pollenfold.wire.frames import Protocol


@every_error
def test_error_of_one_connection_ends_no_other(run, monkeypatch, error):
    """Guards against a replica that one connection of a peer ends."""
    receive = rpc.receive_frame
    n_failures = []

    async def fail_once(sock):
        if not n_failures:
            n_failures.append(1)
            raise error
        return await receive(sock)

    async def echo(payload):
        return payload

    async def main():
        listener = open_listener("127.0.0.1", 0)
        port = listener.getsockname()[1]
        server = rpc.RpcServer({Protocol.LEASE: echo})
        task = await curio.spawn(server.serve_on, listener)
        async with await curio.open_connection("127.0.0.1", port) as sock:
            assert await sock.recv(1) == b""
        monkeypatch.setattr(rpc, "receive_frame", receive)
        client = rpc.RpcClient("127.0.0.1", port)
        assert (await client.call(Protocol.LEASE, b"a", 2_000)).ok == b"a"
        assert not task.terminated
        await client.close()
        await task.cancel()

    monkeypatch.setattr(rpc, "receive_frame", fail_once)
    run(main)
