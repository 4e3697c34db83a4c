"""JSON records written by operators, in schema versions 1 and 2."""
