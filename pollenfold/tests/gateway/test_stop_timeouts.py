"""Steps of a stop that take longer than their time."""

import curio
import pytest

from pollenfold.core.clock import add_ms
from pollenfold.gateway.daemon import _close_all
from pollenfold.http.server import HttpServer
from pollenfold.observe.clock import system_clock
from pollenfold.observe.steps import run_step

LIMIT_MS = 100.0
TOLERANCE_MS = 900.0


class StuckConnection:
    """A connection whose end takes far longer than a stop may."""

    async def cancel(self):
        await curio.sleep(3.0)


@pytest.mark.parametrize("n_stuck", [1, 2, 3])
def test_connections_that_do_not_end_delay_the_stop_only_once(run, n_stuck):
    """Guards against a process that outlives its grace period: the timeout of all
    connections was taken for a failure of the first, and the next had none."""

    async def main():
        server = HttpServer(None)
        server._connections.update(StuckConnection() for _ in range(n_stuck))
        started_at = system_clock()
        await _close_all(server, add_ms(started_at, LIMIT_MS))
        assert system_clock() - started_at < LIMIT_MS + TOLERANCE_MS

    run(main)


def test_timeout_around_a_step_ends_it_and_the_following_code(run):
    """Guards against a step that takes the timeout of its caller for its own error."""
    failed = []

    async def main():
        is_past_the_step = False
        async with curio.ignore_after(LIMIT_MS / 1000) as limit:
            await run_step("wait", lambda *args: failed.append(args), curio.sleep, 1.0)
            is_past_the_step = True
        assert limit.expired
        assert not is_past_the_step

    run(main)
    assert failed == []
