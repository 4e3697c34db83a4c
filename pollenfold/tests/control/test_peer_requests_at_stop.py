"""Stops of a control replica that has read requests on its peer port."""

import curio

from pollenfold.control import cluster, daemon
from pollenfold.http.server import HttpServer
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.signals import Signals, StopRequest
from pollenfold.testing.listening import listening_socket
from pollenfold.testing.replica import FakeReplica
from pollenfold.tests.control.test_stop_errors import Membership
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcClient, RpcServer

HANDLING_S = 0.3


class SlowHandler:
    """Answers after a while, as when a command is replicated."""

    def __init__(self):
        self.is_handling = curio.Event()

    async def handle(self, payload):
        await self.is_handling.set()
        await curio.sleep(HANDLING_S)
        return payload


def test_stop_answers_the_forwarded_orders_that_were_read(run):
    """Guards against an order of an operator at another replica that is cut off, since
    the leader that replicates it stops and has no operator of its own."""

    async def main():
        handler = SlowHandler()
        rpc = RpcServer({Protocol.OPERATOR: handler.handle})
        listener = listening_socket("127.0.0.1", 0)
        peers = await curio.spawn(curio.network.run_server, listener, rpc.handle)
        client = RpcClient(*listener.getsockname())
        call = await curio.spawn(client.call, Protocol.OPERATOR, b"order", 2_000)
        await handler.is_handling.wait()
        node = type("Node", (), {})()
        node.rpc = rpc
        node.membership = Membership()
        node.log = EventLog("c1", system_clock, len)
        stop = StopRequest("SIGTERM", system_clock())
        await cluster._stop(node, HttpServer(None), stop)
        # The group of the daemon's tasks ends.
        await peers.cancel()
        result = await call.join()
        await client.close()
        assert result.is_ok(), result

    run(main)


def test_stop_of_the_own_interface_answers_the_requests_of_entries(
    run, monkeypatch, settings
):
    """Guards against a lease that is granted and whose response is cut off, since the
    control replica stops."""
    peer_port = settings.peers["c1"][1]
    handler = SlowHandler()

    async def handle(self, payload):
        return await handler.handle(payload)

    async def stop_while_handling(self, on_reload=None):
        await handler.is_handling.wait()
        return StopRequest("SIGTERM", system_clock())

    monkeypatch.setattr(daemon.LeaseService, "handle", handle)
    monkeypatch.setattr(Signals, "wait_for_stop", stop_while_handling)

    async def main():
        serving = await curio.spawn(daemon.serve_control, settings, FakeReplica)
        await curio.sleep(0.1)
        client = RpcClient("127.0.0.1", peer_port)
        result = await client.call(Protocol.LEASE, b"lease", 2_000)
        await serving.join()
        await client.close()
        assert handler.is_handling.is_set()
        assert result.is_ok(), result

    run(main)
