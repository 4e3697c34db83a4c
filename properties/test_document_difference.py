"""Differences between documents: any two texts, and configurations with one change."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenfold.core.document_difference import (
    MAX_CHANGED_PIECES,
    MIN_RUN_CHARS,
    apply_difference,
    difference,
    document_digest,
)

TEXTS = st.text(alphabet='ab{}", é', max_size=60) | st.text()


@given(base=TEXTS, target=TEXTS)
def test_applied_difference_gives_the_target(base, target):
    """Guards against an entry whose document isn't the committed one."""
    operations = json.loads(json.dumps(difference(base, target)))
    applied = apply_difference(base, operations, len(target))
    assert applied == target
    assert document_digest(applied) == document_digest(target)


def test_malformed_operation_is_refused():
    """Guards against a malformed difference that ends a process or fills its memory."""
    malformed = [[[0, 4]], [[-1, 2]], [[2, -1]], [7], [["0", 1]], [[0, 1, 2]], [None]]
    for operations in (*malformed, [[0, 3], [0, 1]]):
        with pytest.raises(ValueError):
            apply_difference("abc", operations, 100)
    with pytest.raises(ValueError):
        apply_difference("abc", [[0, 3]] + [[-3, 3]] * 40, 100)


ROUTES = st.lists(st.integers(0, 30), min_size=1, max_size=40)


def document(routes):
    """Return a document with routes that may repeat, as services and weights do."""
    description = "a description that is longer than the shortest run that is copied"
    return json.dumps(
        [
            {"name": f"route-{n}", "text": description, "split": [{"weight": n}]}
            for n in routes
        ]
    )


@given(routes=ROUTES, data=st.data())
def test_one_changed_object_needs_few_operations(routes, data):
    """Guards against a difference that is cut into many runs by repeated objects."""
    position = data.draw(st.integers(0, len(routes) - 1))
    changed = list(routes)
    changed[position] = 31
    operations = difference(document(routes), document(changed))
    assert len(operations) <= 3
    inserted = sum(len(k) for k in operations if isinstance(k, str))
    assert inserted <= len(document([31])) + MIN_RUN_CHARS


@given(routes=ROUTES, position=st.integers(0, 40), n_new=st.integers(1, 5))
def test_added_and_removed_routes_insert_little(routes, position, n_new):
    """Guards against whole documents for changes of a few routes."""
    distinct = list(dict.fromkeys(routes))
    new = range(100, 100 + n_new)
    longer = [*distinct[:position], *new, *distinct[position:]]
    for base, target in ((distinct, longer), (longer, distinct)):
        operations = difference(document(base), document(target))
        inserted = sum(len(k) for k in operations if isinstance(k, str))
        assert inserted <= len(document(new)) + 2 * MIN_RUN_CHARS


def test_document_with_too_many_changes_is_inserted_whole():
    """Guards against a replica that is busy for long with one difference."""
    base = document(range(2 * MAX_CHANGED_PIECES))
    target = document(range(1_000_000, 1_000_000 + 2 * MAX_CHANGED_PIECES))
    assert difference(base, target) == [target]
