"""Running a coroutine function in a test, within a time limit."""

import curio


def run_within(limit_s):
    """Return a function that runs a coroutine function within ``limit_s`` seconds.

    It raises ``curio.TaskTimeout`` after that.
    """

    def run_coroutine(function, *args):
        async def limited():
            async with curio.timeout_after(limit_s):
                return await function(*args)

        return curio.run(limited)

    return run_coroutine
