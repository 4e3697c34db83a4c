"""Fixtures shared by the tests of control replicas."""

import pytest

from pollenfold.settings import ControlSettings, load_settings
from pollenfold.testing.ports import unused_port
from pollenfold.tests.control.test_cluster import unused_ports, with_cluster

__all__ = ["unused_ports", "with_cluster"]


@pytest.fixture
def settings(tmp_path):
    """Return the settings of a control daemon that is a group of its own."""
    flags = {
        "replica_id": "c1",
        "zone": "a",
        "host": "127.0.0.1",
        "peers": f"c1=127.0.0.1:{unused_port()}",
        "operator_port": str(unused_port()),
        "data_folder": str(tmp_path),
        "token": "secret",
    }
    return load_settings(ControlSettings, flags).ok
