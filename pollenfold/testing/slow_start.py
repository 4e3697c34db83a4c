"""Runs a role of the platform whose start takes long at one point, as on a busy VM.

``python -m pollenfold.testing.slow_start MODULE SECONDS entry`` runs ``python -m
pollenfold.platform entry`` and sleeps before it imports MODULE. With ``MODULE:CALL``,
such as ``pollenfold.control.cluster:ClusterNode.load_endpoints``, it sleeps before that
call. A line ``event=slow_start point=...`` on standard output says when the sleep
begins, so that a test can act at that instant of the process's life.
"""

from __future__ import annotations

import functools
import importlib
import importlib.abc
import sys
import time
from typing import Any

from ..platform.__main__ import main


def _sleep(point: str, seconds: float) -> None:
    print(f"event=slow_start point={point}", flush=True)
    time.sleep(seconds)


class _SlowImport(importlib.abc.MetaPathFinder):
    """Sleeps before the first import of one module, and finds nothing."""

    def __init__(self, module: str, seconds: float) -> None:
        self._module = module
        self._seconds = seconds

    def find_spec(self, name: str, path: Any, target: Any = None) -> None:
        if name == self._module:
            sys.meta_path.remove(self)
            _sleep(name, self._seconds)


def slow_down(point: str, seconds: float) -> None:
    """Sleep once at a point: a module name, or ``module:qualified_name`` of a call."""
    module_name, _, call = point.partition(":")
    if not call:
        sys.meta_path.insert(0, _SlowImport(module_name, seconds))
        return
    owner: Any = importlib.import_module(module_name)
    *parents, name = call.split(".")
    for parent in parents:
        owner = getattr(owner, parent)
    original = getattr(owner, name)

    @functools.wraps(original)
    def slow(*args: Any, **kwargs: Any) -> Any:
        _sleep(point, seconds)
        return original(*args, **kwargs)

    setattr(owner, name, slow)


if __name__ == "__main__":
    slow_down(sys.argv.pop(1), float(sys.argv.pop(1)))
    sys.exit(main(sys.argv[1:]))
