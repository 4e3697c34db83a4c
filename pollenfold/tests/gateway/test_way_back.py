"""When an entry that was cut off uses its own path again."""

import curio
import pytest

from pollenfold.observe.clock import system_clock
from pollenfold.tests.gateway.test_cut_entry import cut_all, start_fleet

MAX_UNUSED_MS = 600.0
"""A path that works is used within this time if no peer reaches the endpoints."""


async def start(n_cuts_before):
    """Return two entries, of which the first was cut off several times, and links."""
    _, paths, links = await start_fleet(2)
    for path in paths:
        assert (await path.get()).status == 200
    for _ in range(n_cuts_before):
        await cut_off(paths[0], links[0])
        await cut_all(links[0], "pass")
        async with curio.timeout_after(6):
            while paths[0].monitor.is_cut:
                await curio.sleep(0.02)
    return paths, links


async def cut_off(path, links):
    await cut_all(links, "refuse")
    async with curio.timeout_after(6):
        while not path.monitor.is_cut:
            await path.get()


async def last_refusal_ms(path, for_ms):
    """Return how long after now the last request of a span was refused."""
    started_at = system_clock()
    last_ms = 0.0
    while (sent_ms := system_clock() - started_at) < for_ms:
        if (await path.get()).status != 200:
            last_ms = sent_ms
        await curio.sleep(0.05)
    return last_ms


@pytest.mark.parametrize("n_cuts_before", [0, 4])
def test_path_that_works_is_used_if_no_peer_reaches(run, n_cuts_before):
    """Guards against two entries that both refuse everything, when a cut moves from one
    to the other while the first still waits until its path has proved itself."""

    async def main():
        (path, other), links = await start(n_cuts_before)
        await cut_off(path, links[0])
        await cut_all(links[0], "pass")
        await cut_all(links[1], "refuse")
        assert await last_refusal_ms(path, 2_500.0) < MAX_UNUSED_MS

    run(main)


def test_path_to_half_of_the_servers_is_used_again(run):
    """Guards against an entry that stays cut off for ever, because each round of trials
    that meets only servers that are down starts the way back anew."""

    async def main():
        (path, other), links = await start(4)
        for own in links:
            await cut_all(own[:2], "hang")
        await cut_off(path, links[0][2:])
        await cut_all(links[0][2:], "pass")
        async with curio.timeout_after(15):
            while path.monitor.is_cut:
                await curio.sleep(0.05)

    run(main)
