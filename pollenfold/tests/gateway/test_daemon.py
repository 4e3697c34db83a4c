"""The entry as a daemon, apart from its sockets."""

import json

import pytest

from pollenfold.gateway.calls import RetryLimits
from pollenfold.gateway.daemon import Gateway, GatewaySettings
from pollenfold.platform.headers import DIALECT


@pytest.fixture
def gateway():
    """Return a gateway that isn't started, with settings that can't be read anew."""

    def reload():
        raise ValueError("settings.json: expected a table")

    settings = GatewaySettings(
        entry_id="e1",
        zone="a",
        host="127.0.0.1",
        caller_port=0,
        ready_host="127.0.0.1",
        ready_port=0,
        ready_path="/ready",
        feed_port=1,
        metrics_port=0,
        seeds=lambda: ["10.0.0.1"],
        reload=reload,
        grace_ms=6_000.0,
        retry_limits=RetryLimits(0.2, 64, 10_000.0),
        probes_per_s=10.0,
        cold_burst_factor=1.5,
        cold_slack=5.0,
    )
    return Gateway(settings, DIALECT, json.loads)


def test_settings_that_cannot_be_used_are_reported(gateway):
    """Guards against a reload that changes nothing and says so nowhere."""
    lines = []
    gateway.log._write = lambda data: lines.append(data.decode()) or len(data)
    gateway.reload()
    gateway.log.flush()
    text = "".join(lines)
    assert "event=settings_rejected" in text
    assert "expected a table" in text
    assert "settings_reloaded" not in text
