"""Stops of an entry of the own interface while one of its steps raises an error."""

from types import SimpleNamespace

import curio
import pytest

from pollenfold.entry import daemon
from pollenfold.tests.http.test_pipeline import GET, Service, wait_until
from pollenfold.tests.http.test_stop_cases import read_response
from pollenfold.tests.http.test_stop_errors import every_error


@every_error
@pytest.mark.parametrize("step", ["announce_stop", "stop", "wait_idle"])
def test_failed_step_of_a_stop_skips_no_other(run, monkeypatch, step, error):
    """Guards against an entry that cuts off the requests in flight and ends with an
    error, since one step of its stop raised one."""

    def fail(*args):
        raise error

    async def main():
        service = Service()
        service.hold("request")
        async with await service.connect() as sock:
            await sock.sendall(GET % b"request")
            await wait_until(lambda: service.started == ["request"])
            monkeypatch.setattr(service.server, step, fail)
            entry = SimpleNamespace(actions=SimpleNamespace(n_storing=1))
            task = await curio.spawn(daemon.drain, entry, service.server, 1.0)
            await curio.sleep(0.02)
            assert not task.terminated
            await service.gates["request"].set()
            assert (await read_response(sock)).endswith(b"request")
            await sock.close()
            # The outcomes that are being stored are waited for as well.
            await curio.sleep(0.02)
            assert not task.terminated
            entry.actions.n_storing = 0
            await task.join()
        assert entry.is_stopping

    run(main)
