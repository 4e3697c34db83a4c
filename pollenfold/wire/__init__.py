"""Framing, message schemas and RPC between the processes of the system."""
