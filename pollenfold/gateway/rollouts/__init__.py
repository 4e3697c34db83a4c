"""The entries' side of roll-outs: versions of endpoints, outcomes and reports."""
