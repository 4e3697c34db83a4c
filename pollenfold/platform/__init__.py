"""Adapter to the platform: translates its settings, API calls and headers."""
