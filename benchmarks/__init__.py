"""Load tool, baselines, comparisons and the demo; no part of the package."""
