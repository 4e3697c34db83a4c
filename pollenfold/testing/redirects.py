"""Runs a role of the platform with other addresses for its backend servers.

``python -m pollenfold.testing.redirects FILE entry`` runs ``python -m
pollenfold.platform entry``. FILE is a JSON map of addresses such as ``10.0.0.1:80``:
connections to a backend server at a key go to the value. With a forwarder there, a test
cuts the links of one process and leaves those of the others. Connections come from the
host under the key ``source``, if there is one, so that a server can tell processes
apart.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

from ..core.link import Link
from ..gateway.backend import BackendConnection
from ..platform.__main__ import main


def install_redirects(path: Path) -> None:
    """Patch the connections of this process to apply the file, read for each one."""
    original_init = BackendConnection.__init__

    def redirected_init(
        self: BackendConnection,
        host: str,
        port: int,
        link: Link,
        source_host: str = "",
    ) -> None:
        redirects = json.loads(path.read_text())
        address = redirects.get(f"{host}:{port}", f"{host}:{port}")
        new_host, _, new_port = address.rpartition(":")
        source_host = source_host or redirects.get("source", "")
        original_init(self, new_host, int(new_port), link, source_host)

    BackendConnection.__init__ = redirected_init  # type: ignore[method-assign]


if __name__ == "__main__":
    install_redirects(Path(sys.argv.pop(1)))
    sys.exit(main(sys.argv[1:]))
