"""Stops of a control replica while one of its steps raises an error."""

from types import SimpleNamespace

import curio
import pytest

from pollenfold.control import cluster
from pollenfold.observe.clock import system_clock
from pollenfold.observe.events import EventLog
from pollenfold.observe.signals import StopRequest
from pollenfold.tests.http.test_pipeline import GET, Service, wait_until
from pollenfold.tests.http.test_stop_cases import read_response
from pollenfold.tests.http.test_stop_errors import every_error
from pollenfold.wire.rpc import RpcServer


class Membership:
    """Stands in for the membership of a replica that nobody can replace."""

    async def leave(self, until):
        """End the wait at once."""


@every_error
@pytest.mark.parametrize("step", ["stop", "wait_idle", "leave", "state", "flush"])
def test_failed_step_of_a_stop_skips_no_other(run, monkeypatch, step, error):
    """Guards against a control replica that cuts off the orders in flight and ends with
    an error, since one step of its stop raised one."""
    written = []
    log = EventLog("c1", system_clock, lambda data: written.append(data) or len(data))
    n_calls = []

    def fail_once(target):
        function = getattr(target, step)

        def call(*args, **kwargs):
            n_calls.append(1)
            if len(n_calls) == 1:
                raise error
            return function(*args, **kwargs)

        monkeypatch.setattr(target, step, call)

    async def main():
        service = Service()
        service.hold("order")
        async with await service.connect() as sock:
            await sock.sendall(GET % b"order")
            await wait_until(lambda: service.started == ["order"])
            membership = Membership()
            targets = (service.server, membership, log)
            fail_once(next(target for target in targets if hasattr(target, step)))
            stop = StopRequest("SIGTERM", system_clock())
            node = SimpleNamespace(log=log, rpc=RpcServer({}), membership=membership)
            task = await curio.spawn(cluster._stop, node, service.server, stop)
            await curio.sleep(0.02)
            assert not task.terminated
            await service.gates["order"].set()
            assert (await read_response(sock)).endswith(b"order")
            await sock.close()
            await task.join()

    run(main)
    log.flush()
    text = b"".join(written).decode()
    assert "event=stopped" in text
    assert text.count("event=stop_step_failed") == 1
