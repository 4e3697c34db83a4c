"""Fixtures shared by the tests of control replicas."""

from pollenfold.tests.control.test_cluster import unused_ports, with_cluster

__all__ = ["unused_ports", "with_cluster"]
