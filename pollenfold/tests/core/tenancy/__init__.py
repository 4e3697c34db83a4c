"""Tests of tenants and quotas."""
