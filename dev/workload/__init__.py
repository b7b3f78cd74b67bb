"""Seeded work of callers and operators, and what became of it."""
