"""Clock of the process, logs, metrics and histograms."""
