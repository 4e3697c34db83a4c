"""The control daemon with a fake log replica: starts, serves operators, stops."""

import json
import os
import signal

import curio
import pytest

from pollenfold.cli.client import OperatorClient
from pollenfold.control.daemon import serve_control
from pollenfold.observe.clock import system_clock
from pollenfold.testing.replica import FakeReplica


def test_daemon_serves_until_it_is_stopped(run, settings):
    """Guards against a daemon that doesn't listen, or ignores its stop signal."""
    assert "secret" not in repr(settings)
    address = ("127.0.0.1", settings.operator_port)

    async def main():
        daemon = await curio.spawn(serve_control, settings, FakeReplica)
        client = OperatorClient([address], "secret", system_clock, 5000)
        reply = (await client.get("/v1/status?leader=true")).ok
        assert reply.body["leader"] == f"127.0.0.1:{settings.operator_port}"
        os.kill(os.getpid(), signal.SIGTERM)
        await daemon.join()
        client = OperatorClient([address], "secret", system_clock, 0)
        assert (await client.get("/v1/status")).is_error()

    # A signal that the daemon doesn't handle must not end the test process.
    received = []
    before = signal.signal(signal.SIGTERM, lambda number, frame: received.append(1))
    try:
        run(main)
        assert received == []
    finally:
        signal.signal(signal.SIGTERM, before)


def test_daemon_fails_when_one_of_its_tasks_ends(run, settings):
    """Guards against a daemon that exits cleanly after the failure of a task."""

    class EndingReplica(FakeReplica):
        async def run(self):
            return

    async def main():
        with pytest.raises(RuntimeError, match="run ended"):
            await serve_control(settings, EndingReplica)

    run(main)


RECORD = {"schema_version": 1, "kind": "zone", "name": "a", "version": 1}
RECORD |= {"spec": {"state": "in", "region": "r"}}


@pytest.mark.parametrize("ends_by", ["signal", "failure"])
def test_end_of_the_daemon_cuts_off_no_order(run, settings, ends_by):
    """Guards against an operator's order that is committed and whose response is cut
    off, since the daemon stops or one of its tasks ends."""

    class SlowReplica(FakeReplica):
        is_proposing = curio.Event()

        async def propose(self, command, timeout_ms):
            if b"change-1" in command:
                await self.is_proposing.set()
                await curio.sleep(0.3)
            return await super().propose(command, timeout_ms)

        async def run(self):
            await self.is_proposing.wait()
            if ends_by == "failure":
                return
            os.kill(os.getpid(), signal.SIGTERM)
            await super().run()

    async def serve():
        if ends_by == "failure":
            with pytest.raises(RuntimeError, match="run ended"):
                await serve_control(settings, SlowReplica)
        else:
            await serve_control(settings, SlowReplica)

    async def main():
        daemon = await curio.spawn(serve)
        address = ("127.0.0.1", settings.operator_port)
        client = OperatorClient([address], "secret", system_clock, 5000)
        assert (await client.get("/v1/status?leader=true")).is_ok()
        client = OperatorClient([address], "secret", system_clock, 0)
        order = await curio.spawn(
            client.post_record, json.dumps(RECORD).encode(), "change-1"
        )
        await daemon.join()
        # The process ends now.
        assert order.terminated
        assert order.result.ok.status == 200

    before = signal.getsignal(signal.SIGTERM)
    try:
        run(main)
    finally:
        signal.signal(signal.SIGTERM, before)
