"""Hypothesis profiles: CI uses a fixed seed, so that results are reproducible."""

import os

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=200)
settings.register_profile("dev", deadline=None)
settings.register_profile("fuzz", deadline=None, max_examples=20_000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
