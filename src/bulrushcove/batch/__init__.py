"""Jobs of steps: what they ask, how far they are, and every decision on them.

Nothing here does input or output: callers pass the time, what workers
reported and what the configuration says, and carry out what comes back.
"""
