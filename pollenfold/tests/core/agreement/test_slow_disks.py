"""Elections of replicas whose syncs take as long as an election timeout."""

import pytest

from pollenfold.tests.core.agreement.slow_disk_cluster import SlowDiskCluster

STABLE_MS = 3_000.0
"""After the last start, operators expect the group to work again by then."""


@pytest.mark.parametrize("seed", range(30))
def test_group_on_slow_disks_elects_a_leader(seed):
    """Guards against candidates that give up before the votes for them are stored, so
    that a group that was killed has no leader while further disks may be lost."""
    cluster = SlowDiskCluster(seed)
    cluster.run_until(cluster.started_at + STABLE_MS)
    assert cluster.has_leader(), f"leaders {cluster.leaders}, terms {cluster.terms()}"


@pytest.mark.parametrize("seed", range(30))
def test_leader_on_slow_disks_lasts(seed):
    """Guards against replicas that go on with short timeouts beside a leader, and
    elect another one for each sync that holds up its heartbeats."""
    cluster = SlowDiskCluster(seed)
    cluster.run_until(cluster.started_at + STABLE_MS)
    n_leaders = len(cluster.leaders)
    for _ in range(20):
        cluster.propose(b"x")
        cluster.run_until(cluster.now + 250.0)
    assert cluster.leaders[n_leaders:] == []
