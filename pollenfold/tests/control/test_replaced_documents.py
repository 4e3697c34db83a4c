"""Documents that replace an earlier one to a replica that reads slowly."""

import curio

from pollenfold.control.peer_calls import PeerCalls
from pollenfold.core.agreement.log import Entry
from pollenfold.core.agreement.messages import AppendRequest, AppendResponse, Message
from pollenfold.core.clock import Instant
from pollenfold.testing.listening import listening_socket
from pollenfold.tests.control.slow_link import SlowLink
from pollenfold.wire.agreement import decode_message, encode_message
from pollenfold.wire.frames import Protocol
from pollenfold.wire.rpc import RpcServer

LINK_BYTES_PER_S = 400_000
COMMAND_BYTES = 12_000_000 // 16
"""Longer than the socket buffers of this host and of the link take in at once."""


def document(sent_at):
    entries = (Entry(1, 1, b"x" * COMMAND_BYTES),)
    body = AppendRequest(1, 0, 0, entries, 0, 1, "i", Instant(sent_at))
    return Message("a", "b", "i", body)


def test_document_that_replaces_another_is_not_reported_as_failed(run):
    """Guards against a document that is answered, and yet sent again: the end of the
    one before failed all calls of the connection, also the one that was not sent."""
    failed, received = [], []

    async def respond(payload):
        message = decode_message(payload).ok
        sent_at = message.body.sent_at
        return encode_message(
            Message("b", "a", "j", AppendResponse(1, True, 1, False, sent_at, True))
        )

    async def receive(message):
        received.append(message.body.sent_at)

    async def main():
        listener = listening_socket("127.0.0.1", 0)
        server = RpcServer({Protocol.AGREEMENT: respond})
        await curio.spawn(
            curio.network.run_server, listener, server.handle, daemon=True
        )
        link = SlowLink(listener.getsockname(), LINK_BYTES_PER_S)
        await link.start()
        calls = PeerCalls(
            {"b": ("127.0.0.1", link.port)},
            receive,
            lambda message: failed.append(message.body.sent_at),
        )
        # The first ones fill the buffers, and the rest of one waits to be sent.
        for sent_at in range(1, 9):
            await calls.send(document(sent_at))
            await curio.sleep(0.05)
        async with curio.ignore_after(12):
            while not received and not failed:
                await curio.sleep(0.05)
        assert (failed, received) == ([], [8.0])
        await calls.close()

    run(main)
