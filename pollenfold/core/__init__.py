"""The decision logic without I/O: pure functions of state, event and time."""
