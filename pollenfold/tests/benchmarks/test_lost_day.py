"""A short day of planned work loses nothing, and the driver recognizes what is lost."""

import math
import subprocess
import sys

import pytest

from benchmarks.lost_day import run_seed
from benchmarks.lost_requests import Life, Requests, Unanswered, is_lost
from benchmarks.soak import Program

SEED = 1
SECONDS = 6.0
MIN_SENT = 600
MIN_SERVED_SHARE = 0.5
"""Below it the day says nothing about requests that are in flight at a stop."""


@pytest.fixture
def life(tmp_path):
    """Return an entry's process that has ended, with an empty log."""
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    (tmp_path / "log").touch()
    entry = Program("front-0", "entry", "127.0.0.1", "a", tmp_path)
    return Life(entry, process, 0)


@pytest.mark.parametrize(
    ("has_run", "sent_after_stop_s", "waited_s", "is_response", "expected"),
    [
        # Reset a while after its last byte, without or with a stop.
        (False, -0.1, 0.4, False, True),
        (False, -math.inf, 0.4, False, True),
        # Closed at once: a request that crosses a close isn't lost, unless it ran.
        (False, -0.1, 0.1, False, False),
        (True, -0.1, 0.1, False, True),
        # The route's timeout of 1,200 ms.
        (True, -0.1, 1.15, False, False),
        (True, -0.1, 1.05, False, True),
        # A response of the entry's own while a server works on the request.
        (True, -0.1, 0.3, True, True),
        (True, -0.6, 0.3, True, False),
        (False, -0.1, 0.3, True, False),
        # Sent at most 3 s after the stop.
        (True, 2.9, 0.3, False, True),
        (True, 3.1, 0.3, False, False),
        # The process had been asked to end long before.
        (True, 6.9, 0.3, False, False),
    ],
)
def test_which_requests_are_lost(
    life, has_run, sent_after_stop_s, waited_s, is_response, expected
):
    """A lost request must be counted, and one that may end so must not."""
    sent_at = 100.0
    life.stopped_at = sent_at - sent_after_stop_s
    request = Unanswered(
        "safe-a-1", "safe-a", life, sent_at, waited_s, "no_response", is_response
    )

    assert is_lost(request, has_run) == expected
    cases = Requests(unanswered=[request]).cases({"safe-a-1"} if has_run else set())
    assert len(cases) == expected


def test_a_short_day_loses_nothing(tmp_path):
    """Planned work of all kinds and a final fault must not cost an answer or order."""
    cases, exits, requests = run_seed(SEED, SECONDS, tmp_path)

    assert not cases + exits
    assert requests.n_sent > MIN_SENT
    assert requests.n_served > MIN_SERVED_SHARE * requests.n_sent
