"""The control daemon: configuration, leases and the operator interface."""
