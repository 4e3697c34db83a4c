"""The documents that a control replica keeps as bases of differences."""

import pytest

from pollenfold.control import document_history
from pollenfold.control.document_history import DocumentHistory
from pollenfold.wire.document_transfer import decode_transfer, encode_transfer


def test_transfer_is_computed_once_for_all_subscribers(monkeypatch):
    """Guards against a replica that is busy with the same difference for each entry."""
    computed = []

    def encode(*arguments):
        computed.append(arguments[0])
        return encode_transfer(*arguments)

    monkeypatch.setattr(document_history, "encode_transfer", encode)
    history = DocumentHistory()
    for version in (1, 2):
        history.record(version, f"document {version}")
    for _ in range(100):
        history.record(2, "document 2")
        for version in (0, 1, 9):
            history.transfer(version)
    assert sorted(computed) == [0, 1]


def test_old_documents_are_dropped(monkeypatch):
    """Guards against a replica whose memory grows with each configuration."""
    monkeypatch.setattr(document_history, "MAX_HISTORY_BYTES", 100_000)
    history = DocumentHistory()
    for version in range(1, 100):
        history.record(version, f"{version}{'x' * 30_000}")
    assert sorted(history._documents) == [97, 98, 99]
    assert history.transfer(96)["base_version"] == 0
    assert history.transfer(97)["base_version"] == 97


def test_one_document_is_kept_whatever_its_size(monkeypatch):
    """Guards against a replica that sends an empty document in place of a large one."""
    monkeypatch.setattr(document_history, "MAX_HISTORY_BYTES", 10)
    history = DocumentHistory()
    for version in (1, 2):
        history.record(version, f"{version}{'x' * 30_000}")
    transfer = history.transfer(1)
    assert decode_transfer(transfer, 1, "") == f"2{'x' * 30_000}"


@pytest.mark.parametrize("versions", [(1, 2), (2, 2)])
def test_document_replaced_under_a_version_isn_t_a_base(versions):
    """Guards against a difference from a document that the replica no longer holds."""
    history = DocumentHistory()
    old, new = versions
    history.record(old, "before}")
    history.transfer(old)
    history.record(new, "after}")
    transfer = history.transfer(0)
    assert decode_transfer(transfer, 0, "") == "after}"
    assert history.transfer(new)["digest"] == transfer["digest"]
