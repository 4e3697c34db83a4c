"""Runs a command on copies of the repository, each with one mechanism switched off.

    scripts/ablation --only penalties --keep passed -- pytest -q pollenfold/tests/core

The command runs in the folder of each copy, and first in an unchanged copy. The output
lines that contain the ``--keep`` text are printed, or the last line without it, with
the elapsed time and the exit status. A mechanism whose removal changes no result either
has no effect or lacks a test.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ABLATIONS_FILE = Path(__file__).with_name("ablations.toml")
IGNORED_FILES = shutil.ignore_patterns(
    ".git", ".venv", "journal", "__pycache__", ".*_cache", ".hypothesis"
)


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism and the text replacement in one file that switches it off."""

    name: str
    file: str
    old: str
    new: str

    def switch_off(self, folder: Path) -> None:
        """Edit a copy; raise ValueError unless ``old`` occurs exactly once."""
        path = folder / self.file
        text = path.read_text()
        if text.count(self.old) != 1:
            raise ValueError(f"{self.name}: expected one match in {self.file}")
        path.write_text(text.replace(self.old, self.new))


def load_mechanisms(path: Path = ABLATIONS_FILE) -> list[Mechanism]:
    """Read the mechanisms from the TOML file."""
    fields = tomllib.loads(path.read_text())
    return [Mechanism(**item) for item in fields["mechanism"]]


def run_with_ablation(
    mechanism: Mechanism | None, command: list[str], keep: str
) -> str:
    """Run the command on a copy without the mechanism; return the report lines."""
    name = "nothing" if mechanism is None else mechanism.name
    with tempfile.TemporaryDirectory(prefix="ablation-", dir=ROOT.parent) as parent:
        folder = Path(parent) / "copy"
        shutil.copytree(ROOT, folder, ignore=IGNORED_FILES)
        if mechanism is not None:
            mechanism.switch_off(folder)
        started_at = time.monotonic()
        environment = {**os.environ, "PYTHONPATH": str(folder)}
        completed = subprocess.run(
            command, cwd=folder, env=environment, capture_output=True, text=True
        )
        elapsed_s = time.monotonic() - started_at
    lines = completed.stdout.splitlines() or ["no output"]
    printed_lines = [line for line in lines if keep in line] if keep else lines[-1:]
    summary = f"without {name}: status={completed.returncode} elapsed_s={elapsed_s:.0f}"
    return "\n".join([summary, *(f"    {line}" for line in printed_lines)])


def select_mechanisms(
    names: Iterable[str], mechanisms: list[Mechanism]
) -> list[Mechanism]:
    """Return the named mechanisms, or all; raise ValueError for an unknown name."""
    wanted = set(names)
    known = {mechanism.name for mechanism in mechanisms}
    if not wanted <= known:
        unknown = ", ".join(sorted(wanted - known))
        raise ValueError(f"unknown: {unknown}; known: {', '.join(sorted(known))}")
    return [m for m in mechanisms if not wanted or m.name in wanted]


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", nargs="*", default=[], metavar="NAME")
    parser.add_argument("--keep", default="", help="print output lines with this text")
    parser.add_argument(
        "--jobs", type=int, default=1, help="number of copies tested in parallel"
    )
    parser.add_argument("command", nargs="+", help="command to run in each copy")
    arguments = parser.parse_args()
    try:
        mechanisms = select_mechanisms(arguments.only, load_mechanisms())
    except ValueError as error:
        parser.error(str(error))
    cases: list[Mechanism | None] = [None, *mechanisms]

    def run(case: Mechanism | None) -> str:
        return run_with_ablation(case, arguments.command, arguments.keep)

    with ThreadPoolExecutor(arguments.jobs) as pool:
        for text in pool.map(run, cases):
            print(text, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
