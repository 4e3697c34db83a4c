"""Records as operators write them: JSON of schema versions 1 and 2."""
