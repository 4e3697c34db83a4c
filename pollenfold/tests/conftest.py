"""Fixtures shared by the tests."""

import curio
import pytest


@pytest.fixture
def run():
    """Return a function that runs a coroutine function within 20 s."""

    def run_coroutine(function, *args):
        async def limited():
            async with curio.timeout_after(20):
                return await function(*args)

        return curio.run(limited)

    return run_coroutine
