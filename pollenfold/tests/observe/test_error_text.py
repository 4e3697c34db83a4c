"""The text of an unexpected error in a log line."""

import pytest

from pollenfold.core.document_difference import apply_difference
from pollenfold.observe.error_text import error_text
from pollenfold.wire.document_transfer import DocumentMismatchError, decode_transfer
from pollenfold.wire.lines import BadLineError, _decode_line


def test_data_that_can_not_be_decoded_is_not_shown():
    """Guards against a configuration, with its keys, in the log of an entry."""
    with pytest.raises(UnicodeError) as raised:
        b'{"apiKeys": ["k-secret"]}\xff'.decode()
    assert "k-secret" in repr(raised.value)
    assert "k-secret" not in error_text(raised.value)
    assert "position 25" in error_text(raised.value)
    assert error_text(ValueError("x")) == "ValueError('x')"


@pytest.mark.parametrize("line", [b'["k-secret"]', b'"k-secret', b"k-secret\xff"])
def test_malformed_line_of_a_feed_is_not_shown(line):
    """Guards against a part of the configuration in the log of an entry."""
    with pytest.raises(BadLineError) as raised:
        _decode_line(line)
    assert "k-secret" not in str(raised.value)


def test_malformed_difference_is_not_shown():
    """Guards against a part of the configuration in the log of an entry."""
    with pytest.raises(ValueError) as raised:
        apply_difference("", [["k-secret"]], 100)
    assert "k-secret" not in str(raised.value)
    with pytest.raises(DocumentMismatchError) as mismatch:
        decode_transfer("k-secret", 0, "")
    assert "k-secret" not in str(mismatch.value)
