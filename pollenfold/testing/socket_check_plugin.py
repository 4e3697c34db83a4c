"""Pytest plugin that fails each test in which a socket is closed under a wait.

Loaded for the whole suite by ``addopts`` in ``pyproject.toml``.
"""

from __future__ import annotations

from collections.abc import Generator

import curio.io
import pytest

from .checked_selector import install, violations

install()
# Tests use curio's sockets for callers and backend servers, and many leave the close to
# the garbage collector. With plain numbers curio keeps no registration after a wait.
# A test makes sure that the code under test doesn't use these sockets.
curio.io._Fd = int


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
