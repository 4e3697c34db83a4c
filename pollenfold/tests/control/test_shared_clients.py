"""Calls to one replica that share a connection, of which one fails."""

import curio

from pollenfold.control.forwarding import call_replica
from pollenfold.testing.listening import listening_socket
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcServer


def test_call_that_times_out_fails_no_other(run):
    """Guards against an order that fails although the leader answers it in time, since
    an earlier order, or a request to join, timed out on the same connection."""

    async def respond(payload):
        await curio.sleep(0.3)
        return payload

    async def main():
        listener = listening_socket("127.0.0.1", 0)
        server = RpcServer({Protocol.OPERATOR: respond})
        task = await curio.spawn(curio.network.run_server, listener, server.handle)
        clients = {}
        host, port = listener.getsockname()
        call = (call_replica, clients, f"{host}:{port}/x", Protocol.OPERATOR)
        earlier = await curio.spawn(*call, b"earlier", 100)
        order = await curio.spawn(*call, b"order", 2_000)
        assert (await earlier.join()).is_error()
        result = await order.join()
        await task.cancel()
        assert result.is_ok(), result

    run(main)
