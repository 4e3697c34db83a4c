"""Loads curio without the submodules that an entry doesn't use.

The package always imports its worker threads, child processes, TLS and the asyncio
bridge. They take 3.7 MB of the 16 MB of an entry and a quarter of the time until it
listens, and entries run on VMs with little memory and CPU.
"""

from __future__ import annotations

import importlib
import importlib.machinery
import sys
from types import ModuleType

LOADED_SUBMODULES = ("errors", "task", "time", "kernel", "sync", "network")
"""The submodules whose public names the subset exports."""

STUBBED_MODULES = ("asyncio", "curio.workers", "curio.ssl")
"""Modules replaced by empty ones: the loaded submodules import them, but need them
only for calls that no entry makes."""


def load_curio_subset() -> None:
    """Make ``import curio`` provide only sockets, tasks, timeouts and locks.

    Must be called before the first import of curio; later calls have no effect.
    Files, child processes, TLS and worker threads (which DNS lookups need) are
    missing afterwards, and using them raises AttributeError.
    """
    if "curio" in sys.modules:
        return
    spec = importlib.machinery.PathFinder.find_spec("curio")
    if spec is None or spec.submodule_search_locations is None:
        raise ImportError("curio isn't installed")
    package = ModuleType("curio")
    package.__path__ = list(spec.submodule_search_locations)
    package.__spec__ = spec
    sys.modules["curio"] = package
    for name in STUBBED_MODULES:
        sys.modules.setdefault(name, ModuleType(name))
    # curio.io handles an absent ssl module, since some builds of Python lack it.
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    for name in LOADED_SUBMODULES:
        module = importlib.import_module(f"curio.{name}")
        for public in module.__all__:
            setattr(package, public, getattr(module, public))
