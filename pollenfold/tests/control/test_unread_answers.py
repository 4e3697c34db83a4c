"""Answers of the feed that its subscribers don't read."""

import curio

from pollenfold.control.cluster_state import ClusterState
from pollenfold.control.feed_server import REQUEST_BUDGET_BYTES, FeedServer
from pollenfold.http.listener import open_listener
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.wire.connections import open_connection
from pollenfold.wire.lines import encode_line

from .test_feed_server import Peers, announcement

HELLO = {"name": "e1", "zone": "a", "role": "entry", "news": 0}
N_ENDPOINTS = 1_200
N_REQUESTS = 400


def test_answers_that_a_subscriber_does_not_read_are_bounded(run):
    """Guards against a control replica that runs out of memory and holds its loop up
    since a subscriber requests the list of endpoints again and again and reads none."""

    async def main():
        log = EventLog("c1", system_clock, write=len)
        cluster_state = ClusterState(3, system_clock, log)
        for number in range(N_ENDPOINTS):
            cluster_state.merge_announcement(announcement(f"i-{number}", number + 1))
        server = FeedServer("a", cluster_state, Peers(), system_clock, log)
        listener = open_listener("127.0.0.1", 0)
        task = await curio.spawn(server.serve_on, listener, daemon=True)
        sock = await open_connection("127.0.0.1", listener.getsockname()[1])
        await sock.sendall(encode_line(HELLO) + encode_line({"list": 1}) * N_REQUESTS)
        n_most_held = 0
        for _ in range(20):
            await curio.sleep(0.05)
            held = [len(one._send_buffer) for one in server._subscribers]
            n_most_held = max(n_most_held, sum(held))
        await sock.close()
        await task.cancel()
        return n_most_held

    # The bound on what the replica holds of the requests of all subscribers.
    assert 0 < run(main) <= REQUEST_BUDGET_BYTES
