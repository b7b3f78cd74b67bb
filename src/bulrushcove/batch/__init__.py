"""Scheduling of batch jobs: their specification, state and placement.

Nothing here does input or output: callers pass in the time, the workers'
reports and the configuration, and carry out the plans that are returned.
"""
