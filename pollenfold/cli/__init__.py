"""The command line program ``pollenfold``."""
