"""Permits for the requests of tenants at an entry."""
