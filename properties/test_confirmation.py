"""An entry's belief that its state is current, under delayed and lost confirmations."""

from hypothesis import example, given
from hypothesis import strategies as st

from pollenfold.core.confirmation import Confirmations

APPLY_MS = 2_000.0
"""Accepted changes must be in force everywhere within this time."""

STEP_MS = 100.0
ACTIONS = st.one_of(
    st.just(("accept",)),
    st.just(("request",)),
    st.tuples(st.just("respond"), st.integers(0, 30), st.integers(0, 40)),
    st.tuples(st.just("duplicate"), st.integers(0, 30)),
    st.just(("catch_up",)),
    st.tuples(st.just("wait"), st.integers(1, 40)),
)


class World:
    """Accepted changes by time, an entry that follows late, and its requests."""

    def __init__(self):
        self.now = 0.0
        self.accepted = []
        self.entry_index = 0
        self.confirmations = Confirmations()
        self.requests = []
        self.responses = []

    def step(self, action, *args):
        getattr(self, action)(*args)
        self.now += 1.0

    def accept(self):
        self.accepted.append(self.now)

    def request(self):
        request_id = self.confirmations.begin(self.now)
        self.requests.append((request_id, len(self.accepted)))

    def respond(self, position, n_later):
        """A quorum answers any earlier request, perhaps long after it was sent."""
        if self.requests:
            request_id, n_accepted = self.requests[position % len(self.requests)]
            index = min(len(self.accepted), n_accepted + n_later)
            self.responses.append((request_id, index))
            self.confirmations.record(request_id, index)

    def duplicate(self, position):
        if self.responses:
            response = self.responses[position % len(self.responses)]
            self.confirmations.record(*response)

    def catch_up(self):
        self.entry_index = len(self.accepted)

    def wait(self, n_steps):
        self.now += STEP_MS * n_steps


@given(st.lists(ACTIONS, max_size=80))
@example(
    [
        ("request",),
        ("respond", 0, 0),
        ("accept",),
        ("wait", 30),
        ("duplicate", 0),
    ]
)
def test_state_that_counts_as_current_has_all_changes_accepted_until_lately(actions):
    """Guards against 404 for a route on the word of a confirmation that was on its way
    for long, came twice, or is older than a change that was accepted since."""
    world = World()
    for action in actions:
        world.step(*action)
        if world.confirmations.is_current(world.entry_index, world.now):
            oldest = world.now - APPLY_MS
            n_due = sum(accepted_at < oldest for accepted_at in world.accepted)
            assert n_due <= world.entry_index


def test_confirmation_that_arrives_before_the_state_counts_once_the_state_is_there():
    """Guards against an entry that denies nothing until it asks again."""
    confirmations = Confirmations()
    request_id = confirmations.begin(0.0)
    confirmations.record(request_id, 7)
    assert not confirmations.is_current(6, 100.0)
    assert confirmations.is_current(7, 100.0)
    assert not confirmations.is_current(7, APPLY_MS)
