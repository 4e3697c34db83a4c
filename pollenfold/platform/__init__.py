"""The adapter to the platform: translates its settings, calls and headers."""
