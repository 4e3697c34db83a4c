"""Frames, schemas and remote calls between the system's own processes."""
