"""Runs a daemon whose event loop reports sockets that are closed under a wait.

For example ``python -m pollenfold.testing.checked_daemon pollenfold.platform entry``.
Each violation is written to standard error, and a process that ends by itself with
violations has the exit status ``EXIT_VIOLATION``.
"""

from __future__ import annotations

import runpy
import sys

from .checked_selector import LOG_MARK, Violation, install, violations

EXIT_VIOLATION = 70

MODULE = "pollenfold.testing.checked_daemon"

__all__ = ["EXIT_VIOLATION", "LOG_MARK", "MODULE", "main"]


def _write(violation: Violation) -> None:
    print(violation, file=sys.stderr, flush=True)


def main(arguments: list[str]) -> int:
    """Run the module that the first argument names, with the others as its own."""
    install(_write)
    sys.argv = arguments
    status: object = 0
    try:
        runpy.run_module(arguments[0], run_name="__main__", alter_sys=True)
    except SystemExit as end:
        status = end.code
    if violations:
        return EXIT_VIOLATION
    return status if isinstance(status, int) else int(status is not None)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
