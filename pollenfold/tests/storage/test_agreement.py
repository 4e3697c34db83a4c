"""Durability of a replica's data folder when the process is killed at any write."""

import os

import pytest

from pollenfold.core.agreement.log import Entry, Log, Snapshot
from pollenfold.core.agreement.messages import (
    PersistEntries,
    PersistJoined,
    PersistLog,
    PersistState,
)
from pollenfold.storage.agreement import AgreementStorage


class ProcessKilled(BaseException):
    """Simulates a killed process; no error handler may catch it."""


ENTRIES = tuple(Entry(index, 1, b"command") for index in range(1, 5))
ACTIONS = [
    PersistState(1, "a", 0, (("a", "a0"),)),
    PersistJoined(),
    PersistEntries(ENTRIES),
    PersistLog(Log(Snapshot(3, 1, b"s" * (3 << 20)), ENTRIES[3:])),
    PersistState(2, None, 1, ()),
    PersistEntries((Entry(4, 2, b"replaces"), Entry(5, 2, b"last"))),
]


def kill_at_call(monkeypatch, n_calls):
    """Let ``n_calls`` calls of write, fsync and replace succeed; fail all later ones.

    The others raise ProcessKilled. If the first of them is a write, it writes half of
    its data. Return a function that returns how many of the ``n_calls`` are left; the
    result is negative once a call has raised.
    """
    n_calls_left = n_calls
    original_write = os.write

    def intercept(name, function):
        def intercepted(*args):
            nonlocal n_calls_left
            n_calls_left -= 1
            if n_calls_left < 0:
                if name == "write" and n_calls_left == -1:
                    original_write(args[0], args[1][: len(args[1]) // 2])
                raise ProcessKilled
            return function(*args)

        monkeypatch.setattr(os, name, intercepted)

    for name in ("write", "fsync", "replace"):
        intercept(name, getattr(os, name))
    return lambda: n_calls_left


def read_storage(folder):
    storage = AgreementStorage(folder, "a")
    storage.close()
    return storage.stored_state, storage.log, storage.identity.is_blank


def torn_write_states(state, actions):
    """Return the states that a torn write of entries may leave.

    None of the entries was acknowledged, so any prefix of them is valid.
    """
    stored, log, is_blank = state
    return [
        (stored, log.with_entries(action.entries[:n_entries]), is_blank)
        for action in actions
        if isinstance(action, PersistEntries)
        for n_entries in range(len(action.entries))
    ]


def test_kill_at_any_write_leaves_a_folder_that_can_be_opened(tmp_path, monkeypatch):
    """Guards against a kill that loses acknowledged state, or leaves a folder that
    can't be opened or that holds a part of the interrupted action.

    An interrupted write of entries may leave any number of the first entries.
    """
    folder = tmp_path / "complete"
    storage = AgreementStorage(folder, "a")
    states = [read_storage(folder)]
    for action in ACTIONS:
        assert storage.persist(action).is_ok()
        states.append(read_storage(folder))
        storage = AgreementStorage(folder, "a")
    assert states[-1][1].last_index == 5
    for n_calls in range(200):
        folder = tmp_path / str(n_calls)
        n_performed = 0
        with monkeypatch.context() as patch:
            n_calls_left = kill_at_call(patch, n_calls)
            try:
                storage = AgreementStorage(folder, "a")
                for action in ACTIONS:
                    assert storage.persist(action).is_ok()
                    n_performed += 1
            except ProcessKilled:
                pass
        torn_states = torn_write_states(
            states[n_performed], ACTIONS[n_performed : n_performed + 1]
        )
        assert (
            read_storage(folder) in states[n_performed : n_performed + 2] + torn_states
        )
        if n_calls_left() >= 0:
            # No call raised, so a kill at each of the calls has been tested.
            return
    pytest.fail("expected all actions to be performed within 200 calls")


def test_joined_replica_without_its_log_is_refused(tmp_path):
    """Guards against a replica that votes again after its log was removed."""
    storage = AgreementStorage(tmp_path, "a")
    for action in ACTIONS[:2]:
        storage.persist(action)
    storage.close()
    (tmp_path / "log").unlink()
    with pytest.raises(OSError, match="expected the log of a replica"):
        AgreementStorage(tmp_path, "a")
