"""The gateway entry: forwards requests by host and path to announced endpoints."""
