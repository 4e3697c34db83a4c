"""Checks the plain fields and the lists of names in a line of a feed.

The replicated state, announcements and reports are decoded where they are applied.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .input_limits import (
    MAX_ENTRIES,
    is_endpoint_id,
    is_ip_address,
    is_magnitude,
    is_name,
    is_whole_number,
)


def _is_count(value: object) -> bool:
    return is_whole_number(value, MAX_ENTRIES)


def _is_flag(value: object) -> bool:
    return type(value) is int and value in (0, 1)


def _is_age(value: object) -> bool:
    return value == -1.0 or is_magnitude(value)


def _is_confirmation(value: object) -> bool:
    if not isinstance(value, list) or len(value) != 2:
        return False
    return all(is_whole_number(number) for number in value)


def _is_state(value: object) -> bool:
    # A process never goes back to a lower index, so one too large would be the last.
    return isinstance(value, dict) and is_whole_number(value.get("index"))


_FIELDS: dict[str, Callable[[object], bool]] = {
    "zone": is_name,
    "index": is_whole_number,
    "n_endpoints": is_whole_number,
    "n_entries": _is_count,
    "n_peers": _is_count,
    "leads": _is_flag,
    "complete_ms": _is_age,
    "confirmed": _is_confirmation,
    "orders": _is_state,
}
_MEMBERS: dict[str, Callable[[object], bool]] = {
    "control": is_ip_address,
    "entries": is_name,
    "joined": is_name,
    "left": is_name,
    "heard": is_endpoint_id,
}


def checked_line(line: dict[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Return a line without its malformed parts, and the name of each such part.

    A malformed member of a list counts, not the list. For example, ``{"index": "x",
    "heard": ["i-1", 7]}`` gives ``{"heard": ["i-1"]}`` and ``["index", "heard"]``.
    """
    checked = dict(line)
    malformed = []
    for name, is_valid in _FIELDS.items():
        if name in line and not is_valid(line[name]):
            del checked[name]
            malformed.append(name)
    for name, is_valid in _MEMBERS.items():
        if name not in line:
            continue
        members = line[name] if isinstance(line[name], list) else [None]
        checked[name] = [member for member in members if is_valid(member)]
        malformed += [name] * (len(members) - len(checked[name]))
    return checked, malformed
