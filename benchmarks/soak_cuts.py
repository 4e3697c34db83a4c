"""Cuts the links of single entries to all backend servers in the soak test."""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio

from benchmarks.soak_backends import Link, LinkProxy, SoakBackend

DETECTION_S = 1.0
"""How long after the start of a cut requests may still fail."""

COUNTED_S = 2.0

CUTS = ("refuse", Link.RESET, Link.SILENT)
"""How an entry is cut off: connections are refused, reset or never answered."""

CountServed = Callable[[str, float], Awaitable[float]]
"""Sends an entry, given by its host, requests for some seconds; returns the share that
it served."""


class EntryCuts:
    """Redirects the connections of one entry at a time (``testing/redirects.py``).

    ``entries`` are the hosts of the entries with the files of their redirects.
    """

    def __init__(
        self,
        entries: list[tuple[str, Path]],
        backends: list[SoakBackend],
        link_host: str,
        rng: random.Random,
    ) -> None:
        self._entries = entries
        self._backends = backends
        self._links = {mode: LinkProxy(link_host) for mode in CUTS}
        self._rng = rng
        for path in self.paths:
            path.write_text("{}")

    @property
    def paths(self) -> list[Path]:
        """The files of the entries' redirects."""
        return [path for _, path in self._entries]

    async def start(self) -> None:
        """Start what the redirected connections reach."""
        target = (self._backends[0].host, self._backends[0].link.port)
        for mode, link in self._links.items():
            await link.start(target)
            if isinstance(mode, Link):
                link.mode = mode
            else:
                await link.end()

    async def vary(self) -> None:
        """Cut off one entry after the other until cancelled."""
        while True:
            await curio.sleep(self._rng.uniform(0.2, 1.0))
            _, path = self._rng.choice(self._entries)
            await self._cut(path, self._rng.uniform(0.2, 1.5))

    async def cut_and_count(self, count: CountServed) -> tuple[str, float, float]:
        """Cut off one entry; return its host, the share that it served, and the mean
        share of the others."""
        cut_host, path = self._rng.choice(self._entries)
        cut_task = await curio.spawn(self._cut, path, DETECTION_S + COUNTED_S)
        await curio.sleep(DETECTION_S)
        tasks = {
            host: await curio.spawn(count, host, COUNTED_S) for host, _ in self._entries
        }
        shares = {host: await task.join() for host, task in tasks.items()}
        await cut_task.join()
        cut_share = shares.pop(cut_host)
        return cut_host, cut_share, sum(shares.values()) / len(shares)

    async def _cut(self, path: Path, duration_s: float) -> None:
        link = self._links[self._rng.choice(CUTS)]
        redirects = {
            f"{backend.host}:{backend.link.port}": f"{link.host}:{link.port}"
            for backend in self._backends
        }
        try:
            _replace_text(path, json.dumps(redirects))
            await curio.sleep(duration_s)
        finally:
            _replace_text(path, "{}")
            link.close_connections()


def _replace_text(path: Path, text: str) -> None:
    """Replace a file's content at once, so that no reader sees a part of it."""
    draft = path.with_suffix(".draft")
    draft.write_text(text)
    draft.replace(path)
