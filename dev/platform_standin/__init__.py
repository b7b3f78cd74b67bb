"""A small stand-in of the users' platform, by its published interfaces.

It is enough to serve jobs on real processes: the store, workers and the
operators' entries. Faults are switched on by the tests.
"""
