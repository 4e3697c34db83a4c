"""Membership changes of a group whose entries and snapshots are all documents."""

from unittest.mock import patch

from hypothesis import event, given
from hypothesis import strategies as st

from pollenfold.core.agreement import documents as agreement_documents
from pollenfold.core.agreement.messages import SendFailed
from properties.test_agreement_members import STEPS, LeavingCluster, perform

FAIL_SEND = st.tuples(st.just("fail_send"), st.integers(0, 31), st.integers(0, 11))
SCHEDULES = st.lists(st.one_of(STEPS, FAIL_SEND), min_size=20, max_size=60)


def fail_send(cluster, position):
    """Lose a message, and let its sender notice."""
    if cluster.in_flight:
        message = cluster.in_flight.pop(position % len(cluster.in_flight))
        if message.sender in cluster.replicas:
            cluster.step(message.sender, SendFailed(message))


@given(SCHEDULES, st.integers(0, 2**16))
def test_any_schedule_with_documents_that_are_lost_or_late(schedule, seed):
    """Guards against a document that is never sent again, and against the response to a
    heartbeat that is taken for the response to a document."""
    with patch.object(agreement_documents, "DOCUMENT_BYTES", 0):
        cluster = LeavingCluster(5, seed)
        cluster.run(4000)
        for fault, first, second in schedule:
            if fault == "fail_send":
                fail_send(cluster, first)
            else:
                perform(cluster, fault, first, second)
        event(f"disks: {min(cluster.n_disks, 9)}")
        cluster.recover(8000)
        assert len(cluster.voters()) == 5
