"""Measures the scheduling core against the naive version."""
