"""Which commands are acknowledged while the group has fewer voters than intended."""

import pytest

from pollenfold.tests.control.test_cluster import follower
from pollenfold.tests.platform.test_documents import CONFIGURATION


def record_events(cluster):
    """Return the list to which all replicas add their log events from now on."""
    events = []

    def recorder(number, write):
        def record(event, **fields):
            events.append((number, event, fields))
            write(event, **fields)

        return record

    for number, running in cluster.running.items():
        running.node.log.state = recorder(number, running.node.log.state)
    return events


@pytest.mark.parametrize("is_at_leader", [True, False])
def test_log_names_the_voters_that_hold_a_command(with_cluster, is_at_leader):
    """Guards against an incident in which nobody can tell by how many voters a command
    was agreed on."""

    async def body(cluster):
        events = record_events(cluster)
        number = cluster.leader() if is_at_leader else follower(cluster)
        put = await cluster.call(number, b"PUT", "/-/config", CONFIGURATION)
        evacuation = await cluster.call(number, b"POST", "/-/evacuations/a")
        await cluster.call(number, b"GET", "/-/config")
        assert (put.status, evacuation.status) == (200, 200)
        agreed = [(k, f) for k, event, f in events if event == "order_agreed"]
        assert [k for k, _ in agreed] == [cluster.leader()] * 2
        for _, fields in agreed:
            assert fields["n_holding"] in (2, 3)
            assert (fields["n_voters"], fields["n_target"]) == (3, 3)
        answered = [f for k, event, f in events if event == "order_answered"]
        counts = [(f["n_voters"], f["n_target"]) for f in answered]
        assert counts == [(3, 3)] * 2

    with_cluster(body)
