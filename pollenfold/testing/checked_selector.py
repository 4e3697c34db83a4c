"""A selector for curio that reports descriptors closed while a task waits on them.

``install`` makes every event loop that starts afterwards use it. A violation is any of

* a descriptor is closed or detached while a task has a registration for it, also a
  lasting one that curio keeps after the wait;
* a registration is looked up, by a new wait or by its release, whose descriptor was
  closed meanwhile, or belongs to another file now;
* a registration is released that is gone.
"""

from __future__ import annotations

import os
import selectors
import socket
import sys
import traceback
import weakref
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

LOG_MARK = "event=socket_violation"
"""Starts the line of a violation on standard error."""

N_STACK_FRAMES = 12
RELEASING_FUNCTION = "unregister_event"
"""The function of curio's kernel that releases a registration."""


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation; ``tasks`` are those whose registrations were found."""

    kind: str
    descriptor: int
    tasks: tuple[str, ...]
    stack: str

    def __str__(self) -> str:
        tasks = ",".join(self.tasks)
        return (
            f"{LOG_MARK} kind={self.kind} descriptor={self.descriptor} tasks={tasks!r}"
            f"\n{self.stack}"
        )


violations: list[Violation] = []
"""What was found since the list was last cleared."""

_selectors: weakref.WeakSet[CheckedSelector] = weakref.WeakSet()
_installed: list[str] = []
_observers: list[Callable[[Violation], None]] = []


def install(on_violation: Callable[[Violation], None] | None = None) -> None:
    """Check all event loops that start from now on; repeated calls add observers.

    May be called before curio is loaded.
    """
    if on_violation is not None:
        _observers.append(on_violation)
    if _installed:
        return
    _installed.append("selectors")
    selectors.DefaultSelector = CheckedSelector  # type: ignore[misc]
    kernel = sys.modules.get("curio.kernel")
    if kernel is not None:
        kernel.DefaultSelector = CheckedSelector  # type: ignore[attr-defined]
    _check_before(socket.socket, "_real_close", "close", _descriptor_of)
    _check_before(socket.socket, "detach", "detach", _descriptor_of)
    _check_before(socket, "close", "close", _own_value)
    _check_before(os, "close", "close", _own_value)


def _descriptor_of(sock: socket.socket) -> int:
    return sock.fileno()


def _own_value(descriptor: Any) -> int:
    return descriptor if isinstance(descriptor, int) else -1


def _check_before(
    owner: Any, name: str, kind: str, descriptor_of: Callable[[Any], int]
) -> None:
    """Replace a function that closes a descriptor by one that checks it first."""
    function = getattr(owner, name)

    def check_and_call(target: Any, *arguments: Any, **options: Any) -> Any:
        _check_unregistered(descriptor_of(target), kind)
        return function(target, *arguments, **options)

    setattr(owner, name, check_and_call)


def _check_unregistered(descriptor: int, kind: str) -> None:
    if descriptor < 0:
        return
    for selector in list(_selectors):
        key = selector.registration(descriptor)
        if key is not None and _tasks_of(key):
            _record(kind, descriptor, key)


def _tasks_of(key: selectors.SelectorKey) -> list[Any]:
    """Return the tasks of a registration by curio; other selectors have none."""
    data = key.data if isinstance(key.data, tuple) else ()
    return [task for task in data if hasattr(task, "cancel_func")]


def _record(kind: str, descriptor: int, key: selectors.SelectorKey | None) -> None:
    tasks = [] if key is None else _tasks_of(key)
    names = tuple(f"{task.name}:{task.id}" for task in tasks)
    frames = traceback.extract_stack(sys._getframe(2))[-N_STACK_FRAMES:]
    stack = "".join(traceback.format_list(frames))
    violation = Violation(kind, descriptor, names, stack)
    violations.append(violation)
    for observer in _observers:
        observer(violation)


class CheckedSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """The default selector, which knows the file behind each registered number."""

    def __init__(self) -> None:
        super().__init__()
        self._files: dict[int, tuple[int, int] | None] = {}
        _selectors.add(self)

    def registration(self, descriptor: int) -> selectors.SelectorKey | None:
        """Return the registration of a descriptor, or None."""
        registrations = self.get_map()
        return None if registrations is None else registrations.get(descriptor)

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        """Register a file and note which one it is."""
        key = super().register(fileobj, events, data)
        self._files[key.fd] = _file_of(key.fd)
        return key

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return the registration, and report one of a file that is closed."""
        try:
            key = super().get_key(fileobj)
        except KeyError:
            if sys._getframe(1).f_code.co_name == RELEASING_FUNCTION:
                _record("released_twice", _number_of(fileobj), None)
            raise
        if _file_of(key.fd) != self._files.get(key.fd):
            _record("stale", key.fd, key)
        return key


def _number_of(fileobj: Any) -> int:
    return fileobj if isinstance(fileobj, int) else int(fileobj.fileno())


def _file_of(descriptor: int) -> tuple[int, int] | None:
    """Return what identifies the file behind a number, or None if it is closed."""
    try:
        status = os.fstat(descriptor)
    except OSError:
        return None
    return status.st_dev, status.st_ino
