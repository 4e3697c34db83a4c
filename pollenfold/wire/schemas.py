"""Loads the capnp schemas of the system's messages when a module needs them."""

from __future__ import annotations

from functools import cache
from pathlib import Path
from typing import Any

import capnp

MAX_TRAVERSAL_WORDS = 1 << 18
"""Bounds what one message may claim to contain: 2 MiB, twice the largest frame."""


@cache
def load_schema(name: str) -> Any:
    """Return the schema module ``name``, for example ``load_schema("ledger")``.

    Decode with ``schema.Message.from_bytes(data, traversal_limit_in_words=
    MAX_TRAVERSAL_WORDS)``, which is a context manager in pycapnp 2.
    """
    capnp.remove_import_hook()
    return capnp.load(str(Path(__file__).with_name(f"{name}.capnp")))
