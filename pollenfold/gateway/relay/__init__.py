"""Requests that entries pass on to each other while one is cut off."""
