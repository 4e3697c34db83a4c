"""Permits for cold endpoints and for endpoints that declare a limit."""
