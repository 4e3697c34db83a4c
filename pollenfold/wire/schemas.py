"""Loads the Cap'n Proto schemas of the messages between processes on first use."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any

import capnp

MAX_TRAVERSAL_WORDS = 1 << 18
"""Limits the data that one message may make a reader traverse: 2 MiB, twice the
largest frame."""


@cache
def load_schema(name: str) -> Any:
    """Return the schema module ``name``, for example ``load_schema("ledger")``.

    Decode with ``schema.Message.from_bytes(data, traversal_limit_in_words=
    MAX_TRAVERSAL_WORDS)``, which is a context manager in pycapnp 2.
    """
    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name(f"{name}.capnp")))
