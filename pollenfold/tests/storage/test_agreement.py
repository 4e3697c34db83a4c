"""The data folder of a replica survives a kill at any write."""

import os

import pytest

from pollenfold.core.agreement_log import Entry, Log, Snapshot
from pollenfold.core.agreement_messages import (
    PersistEntries,
    PersistJoined,
    PersistLog,
    PersistState,
)
from pollenfold.storage.agreement import AgreementStorage


class Killed(BaseException):
    """Stands for the end of the process; no handler of errors may catch it."""


ENTRIES = tuple(Entry(index, 1, b"command") for index in range(1, 5))
ACTIONS = [
    PersistState(1, "a", 0, (("a", "a0"),)),
    PersistJoined(),
    PersistEntries(ENTRIES),
    PersistLog(Log(Snapshot(3, 1, b"s" * (3 << 20)), ENTRIES[3:])),
    PersistState(2, None, 1, ()),
    PersistEntries((Entry(4, 2, b"replaces"), Entry(5, 2, b"last"))),
]


def kill_at(monkeypatch, n_calls):
    """Let the process end in the given call that changes a file.

    Return a function that tells how many calls were left.
    """
    left = n_calls
    write = os.write

    def guard(name, function):
        def guarded(*args):
            nonlocal left
            left -= 1
            if left < 0:
                if name == "write" and left == -1:
                    write(args[0], args[1][: len(args[1]) // 2])
                raise Killed
            return function(*args)

        monkeypatch.setattr(os, name, guarded)

    for name in ("write", "fsync", "replace"):
        guard(name, getattr(os, name))
    return lambda: left


def read(folder):
    storage = AgreementStorage(folder, "a")
    storage.close()
    return storage.stored, storage.log, storage.identity.is_blank


def parts(state, actions):
    """Return the states that a torn write of entries may leave.

    None of the entries was acknowledged, so any number of the first ones is right.
    """
    stored, log, is_blank = state
    return [
        (stored, log.with_entries(action.entries[:n_entries]), is_blank)
        for action in actions
        if isinstance(action, PersistEntries)
        for n_entries in range(len(action.entries))
    ]


def test_kill_at_any_write_leaves_a_folder_that_can_be_opened(tmp_path, monkeypatch):
    """Guards against acknowledged state that a kill takes back, or half of a write."""
    folder = tmp_path / "whole"
    storage = AgreementStorage(folder, "a")
    states = [read(folder)]
    for action in ACTIONS:
        assert storage.persist(action).is_ok()
        states.append(read(folder))
        storage = AgreementStorage(folder, "a")
    assert states[-1][1].last_index == 5
    for n_calls in range(200):
        folder = tmp_path / str(n_calls)
        n_done = 0
        with monkeypatch.context() as patch:
            n_left = kill_at(patch, n_calls)
            try:
                storage = AgreementStorage(folder, "a")
                for action in ACTIONS:
                    assert storage.persist(action).is_ok()
                    n_done += 1
            except Killed:
                pass
        in_part = parts(states[n_done], ACTIONS[n_done : n_done + 1])
        assert read(folder) in states[n_done : n_done + 2] + in_part
        if n_left() >= 0:
            return
    pytest.fail("expected all actions to be done within 200 calls")


def test_joined_replica_without_its_log_is_refused(tmp_path):
    """Guards against a replica that votes anew after its log was removed."""
    storage = AgreementStorage(tmp_path, "a")
    for action in ACTIONS[:2]:
        storage.persist(action)
    storage.close()
    (tmp_path / "log").unlink()
    with pytest.raises(OSError, match="expected the log of a replica"):
        AgreementStorage(tmp_path, "a")
