"""The text of an unexpected error in a log line."""

from __future__ import annotations


def error_text(error: BaseException) -> str:
    """Return the text of an error, without the data that could not be decoded.

    ``repr`` of a UnicodeError shows the whole data, which may hold the configuration
    with the keys of tenants, or a header of a caller.
    """
    if isinstance(error, UnicodeError):
        return f"{type(error).__name__}({str(error)!r})"
    return repr(error)
