"""Documents on their way to an entry: any texts, and transfers that were damaged."""

import json

from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.wire.document_transfer import (
    DocumentMismatchError,
    decode_transfer,
    encode_transfer,
)

TEXTS = st.text(alphabet='ab{}", é', max_size=60) | st.text()
LENGTHS = st.sampled_from([1, 100, 5_000])


@given(base=TEXTS, target=TEXTS, n_copies=LENGTHS)
def test_document_arrives_as_it_was_sent(base, target, n_copies):
    """Guards against an entry whose document isn't the committed one, for short
    documents and for those that are compressed."""
    document = target * n_copies
    for version, held in ((0, ""), (3, base)):
        transfer = json.loads(json.dumps(encode_transfer(version, held, document)))
        assert decode_transfer(transfer, 3, base) == document


VALUES = st.recursive(
    st.none() | st.integers() | st.text(max_size=5),
    lambda children: st.lists(children, max_size=4),
    max_leaves=5,
)


@given(
    base=TEXTS,
    target=TEXTS,
    field=st.sampled_from(
        [
            "base_version",
            "digest",
            "operations",
            "compressed_operations",
            "compressed_document",
        ]
    ),
    value=VALUES,
)
@example("a", "b" * 5_000, "compressed_document", "AAAA")
@example("a}" * 99, "b" * 5_000 + "a}" * 99, "compressed_operations", "AAAA")
def test_damaged_transfer_is_refused_or_gives_the_document(base, target, field, value):
    """Guards against damaged input that ends an entry or changes its document."""
    damaged = {**encode_transfer(3, base, target), field: value}
    try:
        assert decode_transfer(damaged, 3, base) == target
    except DocumentMismatchError:
        pass
