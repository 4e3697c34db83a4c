"""Fakes and helpers for tests and benchmarks."""
