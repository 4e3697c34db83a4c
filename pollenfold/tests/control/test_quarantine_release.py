"""Requests that end servers: the operator's release, in a cluster."""

import curio

from pollenfold.control.quarantine_api import handle_quarantine
from pollenfold.http.messages import Request
from pollenfold.tests.control.test_feed_server import DIGEST, ENDED


def test_release_by_a_replica_that_is_lost_at_once_can_be_repeated(with_cluster):
    """Guards against a release that its operator can't repeat: it is no command of the
    log, so the other replicas still quarantine the request if the one that took the
    release is lost before its feeds passed it on."""

    async def body(cluster):
        states = [running.node.cluster_state for running in cluster.running.values()]
        for state in states:
            state.merge_quarantine_reports([[DIGEST, None, ENDED]])
            assert state.quarantine.is_quarantined(DIGEST)
        # The feeds have passed the reports on by then.
        await curio.sleep(0.5)
        taken_by = next(iter(cluster.running))
        # It is lost before its feeds send the next line.
        states[0].on_quarantine_report = lambda digest: None
        path = b"/quarantine/" + DIGEST.encode()
        release = Request(b"DELETE", path, [], b"")
        assert handle_quarantine(states[0], release).status == 200
        await cluster.stop(taken_by)
        await curio.sleep(0.5)
        for state in states[1:]:
            assert state.quarantine.is_quarantined(DIGEST)
            assert handle_quarantine(state, release).status == 200
            assert not state.quarantine.is_quarantined(DIGEST)

    with_cluster(body)
