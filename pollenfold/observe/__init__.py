"""Observability of a process: clock, logs, metrics, histograms and signals."""
