"""Seeded load of callers and operators, and a summary of its outcome."""
