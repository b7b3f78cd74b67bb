"""History of a run and the checks of what must always hold."""
