"""Which modules may use the sockets of curio."""

import ast
from pathlib import Path

import pollenfold

PACKAGE = Path(pollenfold.__file__).parent
ALLOWED = ("wire/sockets.py",)
"""The module that replaces curio's sockets."""

SOCKET_MODULES = {"curio.io", "curio.socket", "curio.traps"}
SOCKET_NAMES = {"io", "socket", "traps", "open_connection", "tcp_server_socket"}
SOCKET_NAMES |= {"tcp_server", "open_unix_connection", "unix_server"}


def uses_curio_sockets(node):
    if isinstance(node, ast.ImportFrom):
        names = {alias.name for alias in node.names}
        is_curio = node.module == "curio" and names & SOCKET_NAMES
        return node.module in SOCKET_MODULES or bool(is_curio)
    if isinstance(node, ast.Import):
        return any(alias.name in SOCKET_MODULES for alias in node.names)
    if isinstance(node, ast.Attribute):
        is_curio = isinstance(node.value, ast.Name) and node.value.id == "curio"
        return is_curio and node.attr in SOCKET_NAMES
    return False


def test_code_in_service_uses_only_its_own_sockets():
    """Guards against a socket that keeps a registration after a wait, which ends the
    event loop once another task closes it. The check of descriptors in tests can't see
    it, since curio's sockets keep none there."""
    found = []
    for path in sorted(PACKAGE.rglob("*.py")):
        name = path.relative_to(PACKAGE).as_posix()
        if name.startswith(("tests/", "testing/")) or name in ALLOWED:
            continue
        if any(map(uses_curio_sockets, ast.walk(ast.parse(path.read_text())))):
            found.append(name)
    assert not found
