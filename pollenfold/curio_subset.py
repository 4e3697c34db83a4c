"""Loads curio without the parts that an entry doesn't use.

The package imports its worker threads, child processes, TLS and the bridge to asyncio,
whatever a program needs of them. These take 3.7 MB of the 16 MB of an entry and a
quarter of the time until it listens, and an entry runs on VMs where both are scarce.
"""

from __future__ import annotations

import importlib
import importlib.machinery
import sys
from types import ModuleType

USED = ("errors", "task", "time", "kernel", "sync", "network")
"""The submodules whose public names the package offers here."""

UNUSED = ("asyncio", "curio.workers", "curio.ssl")
"""Modules that the used ones import but need only for calls that no entry makes."""


def load_curio_subset() -> None:
    """Make ``import curio`` give only sockets, tasks, timeouts and locks.

    It must run before anything imports curio, and does nothing when something did.
    Files, child processes, TLS and worker threads, which look names up, are missing
    afterwards, and a use of them raises AttributeError.
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
    for name in UNUSED:
        sys.modules.setdefault(name, ModuleType(name))
    # curio.io handles an absent ssl module, as some builds of Python have none.
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    for name in USED:
        module = importlib.import_module(f"curio.{name}")
        for public in module.__all__:
            setattr(package, public, getattr(module, public))
