"""An entry that hedges, with two fake backend servers.

The first endpoint reports the lower load, so that it gets each request first. Both have
spare capacity. The delay of a hedge is the expected time of the route, 210 ms, long
enough for a busy machine.
"""

import gc
import re

import curio

from pollenfold.core.clock import add_ms
from pollenfold.gateway.response_memory import RESPONSE_MEMORY
from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.conftest import Backend, signed_response

DELAY_MS = 210.0
ROUTE = {"target_latency_ms": 600.0, "timeout_ms": 2_400.0}


def answer(text, status=200):
    return lambda request: signed_response(status, text)


def make_backends(first_ms=1_000.0, second_ms=0.0, **changes):
    """Return two backend servers, of which the first gets each request."""
    first = Backend("first", answer(b"of first"), delay_ms=first_ms, **changes)
    second = Backend("second", answer(b"of second"), delay_ms=second_ms)
    second.load = b"0,0,6,120"
    return first, second


def hedged_runner(with_path):
    """Return a function that runs ``body(path, first, second)`` on an entry that has
    served enough requests to hedge, and checks that nothing stays in flight."""

    def run_body(body, first, second, **changes):
        async def prepared(path, first, second):
            prime(path)
            await body(path, first, second)
            await wait_until_released(path, first, second)

        with_path(prepared, first, second, **{"hedge_ratio": 1.0, **ROUTE, **changes})

    return run_body


def prime(path, n_requests=40):
    """Let the entry have seen requests that took as long as expected."""
    hedges = path.forwarder.hedges._get()
    # Probes of a busy machine take longer than the usual limit.
    state = path.balancer._memory.get("s")
    state.mean_probe_ms = 20.0
    for _ in range(n_requests):
        hedges.count_request("s", path.hedge_ratio)
        hedges._service("s").ratios.observe(1.0)


def pool(path, backend):
    return path.balancer._connections.pool(path.view.endpoints[backend.name])


async def wait_until_released(path, *backends):
    """Guards against a connection or an in-flight count that is left behind. A search
    that was overtaken may still run."""
    until = add_ms(system_clock(), 1_000.0)
    while not all(is_released(path, backend) for backend in backends):
        assert system_clock() < until
        await curio.sleep(0.01)


def is_released(path, backend):
    """Return whether nothing is in flight at an endpoint."""
    connections = pool(path, backend)
    return (
        path.view.endpoints[backend.name].health.n_in_flight == 0
        and connections.n_open == connections.n_idle
        and not path.forwarder._active_calls
    )


async def assert_memory_released(path, first, second):
    """Guards against memory of responses that stays reserved.

    The loop keeps the task that ended last until another one ends, and a long response
    is part of a cycle, with or without hedges.
    """
    first.respond = second.respond = answer(b"short")
    first.delay_ms = second.delay_ms = 0.0
    for _ in range(3):
        assert (await path.get()).body == b"short"
    gc.collect()
    assert RESPONSE_MEMORY.n_reserved_bytes == 0


def hedges(path, result):
    return path.metrics.get("hedges_total", service="s", result=result)


def last_line(path):
    path.log.flush()
    lines = [line for line in path.lines if "event=request_done" in line]
    return dict(re.findall(r"(\w+)=(\S+)", lines[-1]))
