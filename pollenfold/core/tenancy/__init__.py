"""Tenants, and the decisions about their keys and quotas."""
