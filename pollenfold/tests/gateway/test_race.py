"""Two attempts of one request that end at nearly the same moment."""

from types import SimpleNamespace

import curio
import pytest

from pollenfold.core.outcomes import AttemptOutcome
from pollenfold.gateway.calls import Attempt
from pollenfold.gateway.exchange import CallerGoneError
from pollenfold.gateway.race import Race
from pollenfold.http.messages import BodySource, Response
from pollenfold.observe.clock import system_clock


class Endpoints:
    """Sends requests of a race; each attempt ends when its event is set.

    ``recording`` attempts have ended their exchange and wait for what they record.
    ``closed`` names the attempts whose long response was released.
    """

    def __init__(self):
        self.exchanges = {"first": curio.Event(), "second": curio.Event()}
        self.recorded = {"first": curio.Event(), "second": curio.Event()}
        self.recording = set()
        self.results = {}
        self.closed = []
        self.released = []

    async def send(self, call, pick):
        name = pick.endpoint
        outcome = AttemptOutcome.LOST
        try:
            await self.exchanges[name].wait()
            outcome = AttemptOutcome.RESPONDED
        finally:
            call.attempts.append(Attempt(name, 1.0, outcome, 1.0))
        if name in self.recording:
            await self.recorded[name].wait()
        result = self.results.get(name)
        if isinstance(result, Exception):
            raise result
        return result or (AttemptOutcome.RESPONDED, self.long_response(name))

    async def release(self, endpoint, connection):
        self.released.append(endpoint)

    def long_response(self, name):
        async def close():
            self.closed.append(name)

        return Response(200, [], name.encode(), remaining_body=BodySource(None, close))

    async def start(self, search=None):
        """Return a race of two attempts that both wait for their endpoints."""
        race = Race(self.send, self, system_clock)
        call, fork = (SimpleNamespace(attempts=[], sent_at=0.0) for _ in range(2))
        await race.start(call, SimpleNamespace(endpoint="first", connection=None))

        async def select(is_wanted):
            if search is not None:
                await search.wait()
            return SimpleNamespace(endpoint="second", connection=None)

        await race.start_second(fork, select)
        await curio.sleep(0)
        await curio.sleep(0)
        return race


@pytest.fixture
def endpoints():
    return Endpoints()


def test_two_long_responses_at_once(run, endpoints):
    """Guards against a loser that began a long response, and holds its connection."""

    async def main():
        race = await endpoints.start()
        for event in endpoints.exchanges.values():
            await event.set()
        outcome, response = await race.result()
        await race.end()
        await curio.sleep(0.01)
        assert (outcome, response.body) == (AttemptOutcome.RESPONDED, b"first")
        assert endpoints.closed == ["second"]
        assert [a.outcome for a in race.second_call.attempts] == [outcome]

    run(main)


@pytest.mark.parametrize("winner", ["first", "second"])
def test_loser_that_records_is_not_cancelled(run, endpoints, winner):
    """Guards against the failure of an endpoint that is forgotten because the other
    attempt responded meanwhile, and against a response that arrives after that."""

    async def main():
        loser = "second" if winner == "first" else "first"
        endpoints.recording.add(loser)
        race = await endpoints.start()
        await endpoints.exchanges[loser].set()
        await curio.sleep(0)
        await endpoints.exchanges[winner].set()
        _, response = await race.result()
        await race.end()
        assert response.body == winner.encode()
        assert endpoints.closed == []
        await endpoints.recorded[loser].set()
        await curio.sleep(0.01)
        assert endpoints.closed == [loser]

    run(main)


def test_search_that_ends_late_releases_its_endpoint(run, endpoints):
    """Guards against a request that is sent after another response was passed on."""

    async def main():
        search = curio.Event()
        race = await endpoints.start(search)
        await endpoints.exchanges["first"].set()
        assert (await race.result())[1].body == b"first"
        await race.end()
        assert race.is_searching
        await search.set()
        await curio.sleep(0.01)
        assert endpoints.released == ["second"]
        assert race.second_call.attempts == []

    run(main)


def test_failure_during_the_search_is_returned_at_once(run, endpoints):
    """Guards against a retry that waits for a search which may find nothing."""

    async def main():
        endpoints.results["first"] = (AttemptOutcome.LOST, None)
        race = await endpoints.start(curio.Event())
        await endpoints.exchanges["first"].set()
        assert await race.result() == (AttemptOutcome.LOST, None)
        await race.end()

    run(main)


@pytest.mark.parametrize("name", ["first", "second"])
def test_error_of_one_attempt_ends_the_other(run, endpoints, name):
    """Guards against an attempt that goes on for a caller that is gone."""

    async def main():
        endpoints.results[name] = CallerGoneError()
        race = await endpoints.start()
        await endpoints.exchanges[name].set()
        with pytest.raises(CallerGoneError):
            await race.result()
        await race.end()
        assert len(race.second_call.attempts) == 1
        assert race.second_end == ("abandoned" if name == "first" else "failed")

    run(main)


@pytest.mark.parametrize("first", [AttemptOutcome.LOST, AttemptOutcome.EXPIRED])
def test_deadline_counts_before_other_failures(run, endpoints, first):
    """Guards against a retry after the deadline, because one of two attempts failed in
    another way."""

    async def main():
        endpoints.results["first"] = (first, None)
        endpoints.results["second"] = (AttemptOutcome.EXPIRED, None)
        race = await endpoints.start()
        for event in endpoints.exchanges.values():
            await event.set()
        assert (await race.result())[0] is AttemptOutcome.EXPIRED
        await race.end()
        assert race.second_end == "failed"

    run(main)


def test_attempt_that_never_ran_releases_its_connection(run, endpoints):
    """Guards against a connection of a request whose task was cancelled at once."""

    async def main():
        race = Race(endpoints.send, endpoints, system_clock)
        call = SimpleNamespace(attempts=[], sent_at=0.0)
        await race.start(call, SimpleNamespace(endpoint="first", connection=None))
        await race.end()
        assert endpoints.released == ["first"]

    run(main)
