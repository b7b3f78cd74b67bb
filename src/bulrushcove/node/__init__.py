"""The node program: callers' API on every VM, the scheduler on the leader."""
