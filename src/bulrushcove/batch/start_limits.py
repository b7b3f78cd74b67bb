"""How many tasks a pass may start.

Starts are sent a few at a time, so what a pass places beyond that only waits.
Jobs of many tasks that are ready get a part of it: the starts of others, which
come after them in the order, must not wait for thousands.
"""

from typing import NamedTuple

# 1,500 starts at once kept the leader's loop busy for 2 s.
MAX_STARTS_PER_PASS = 300
# A job that has more units ready is large.
MAX_SMALL_JOB_UNITS = 300
# Nothing more is placed while as many starts are not answered; a gang that is
# placed as a whole may exceed it.
MAX_OPEN_STARTS = 600
# The part of these that large jobs may take.
LARGE_JOBS_SHARE = 0.5


class StartLimits(NamedTuple):
    """Tasks that a pass may start; a gang may exceed it by its other tasks."""

    starts: int
    # Of large jobs, if units of other jobs wait.
    large_job_starts: int


def limit_starts(open_starts: int) -> StartLimits:
    """Return what a pass may start while ``open_starts`` are not answered."""
    large_job_starts = min(
        MAX_STARTS_PER_PASS * LARGE_JOBS_SHARE,
        MAX_OPEN_STARTS * LARGE_JOBS_SHARE - open_starts,
    )
    return StartLimits(
        max(0, min(MAX_STARTS_PER_PASS, MAX_OPEN_STARTS - open_starts)),
        max(0, int(large_job_starts)),
    )
