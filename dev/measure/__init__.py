"""Compares the scheduling pass with the naive scheduler."""
