"""Starts a cluster of stand-ins and daemons on one machine."""
