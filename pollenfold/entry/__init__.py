"""The entry daemon: proxies requests of callers to backend servers."""
