"""Calls on a connection on which the call before was cancelled while it was sent."""

import curio

from pollenfold.testing.listening import listening_socket
from pollenfold.tests.wire.test_rpc import echo
from pollenfold.wire.frames import MAX_PAYLOAD_BYTES, Protocol
from pollenfold.wire.rpc import RpcClient, RpcServer

N_CALLS = 8
"""So many fill the socket buffers of a peer that reads nothing."""


def test_call_that_waits_for_a_cancelled_one_gets_its_response(run):
    """Guards against a call that fails although its peer answers it.

    The cancelled call closes the connection with its half sent frame. The next one
    waits meanwhile and is sent on a new connection.
    """

    async def main():
        listener = listening_socket("127.0.0.1", 0)
        client = RpcClient("127.0.0.1", listener.getsockname()[1])
        large = b"x" * MAX_PAYLOAD_BYTES
        calls = [
            await curio.spawn(client.call, Protocol.LEDGER, large, 5_000, daemon=True)
            for _ in range(N_CALLS)
        ]
        await curio.sleep(0.1)
        for call in calls:
            await call.cancel(blocking=False)
        following = await curio.spawn(client.call, Protocol.LEDGER, b"next", 2_000)
        server = RpcServer({Protocol.LEDGER: echo})
        task = await curio.spawn(curio.network.run_server, listener, server.handle)
        result = await following.join()
        assert result.is_ok(), result
        await client.close()
        await task.cancel()

    run(main)
