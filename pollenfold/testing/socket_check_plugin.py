"""Pytest plugin that fails each test in which a socket is closed under a wait.

Loaded for the whole suite by ``addopts`` in ``pyproject.toml``.
"""

from __future__ import annotations

from collections.abc import Generator

import curio.io
import pytest

from .checked_selector import install, violations


async def _close(self: curio.io.Socket, *error: object) -> None:
    await self.close()


install()
# Tests use curio's sockets for callers and backend servers. Leaving ``async with``
# closes them without the release of the task's own registration, which ``close`` does.
curio.io.Socket.__aexit__ = _close


@pytest.hookimpl(wrapper=True)
def pytest_runtest_setup(item: pytest.Item) -> Generator[None, None, None]:
    """Forget what was found outside of tests."""
    violations.clear()
    return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_teardown(item: pytest.Item) -> Generator[None, None, None]:
    """Fail the test after its fixtures were torn down."""
    yield
    found = [str(violation) for violation in violations]
    violations.clear()
    if found:
        pytest.fail("\n".join(found), pytrace=False)
