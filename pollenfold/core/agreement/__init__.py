"""The replicated log: an implementation of Raft whose members are in the log."""
