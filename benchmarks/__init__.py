"""Commands that measure; each prints name=value lines."""
