"""Crashes of workers that ran a task: when it is a suspect, when given up.

A crash under several runs accuses all of them, so the next runs of a suspect
get a worker of their own. A further crash there is evidence against the task
alone and harms no other run.
"""

import msgspec

from ..clock import MS_PER_S

# A crash this soon after the start of the only run is hardly a coincidence.
IMMEDIATE_MS = 1000
# A task is given up after so many immediate crashes of workers that ran nothing
# else, or after so many such crashes in all.
MAX_IMMEDIATE_CRASHES = 2
MAX_LONE_CRASHES = 3
# The same where no worker is idle, for crashes of all stable workers. Operators
# allow two more starts after three crashes; one crash may go unseen.
MAX_STABLE_CRASHES = 4
# From so many crashes on, a task waits for a worker of its own.
STRICT_ISOLATION_CRASHES = 2
# Time after which a run has survived, and how many times as long as before the
# last crash it must have run. A report follows within two seconds.
MIN_SURVIVAL_S = 2.0
SURVIVAL_FACTOR = 2


class CrashHistory(msgspec.Struct, frozen=True, array_like=True):
    """Crashes since the last run of the task that survived; stored."""

    # Crashes of workers with other runs.
    shared: int = 0
    # Crashes of workers that ran nothing else.
    alone: int = 0
    # How many of those were immediate.
    immediate: int = 0
    # Longest time from the start of the task to one of these crashes.
    longest_ms: int = 0
    # Crashes of workers that are unstable themselves.
    unstable: int = 0

    def add(
        self, age_ms: int, *, was_alone: bool, was_stable: bool
    ) -> 'CrashHistory':
        """Return the history with one more crash."""
        return CrashHistory(
            self.shared + (was_stable and not was_alone),
            self.alone + was_alone,
            self.immediate + (was_alone and age_ms <= IMMEDIATE_MS),
            max(self.longest_ms, age_ms),
            self.unstable + (not was_stable),
        )

    @property
    def crashes(self) -> int:
        """Return the number of crashes."""
        return self.shared + self.alone + self.unstable

    @property
    def is_conclusive(self) -> bool:
        """Return whether the task is given up."""
        return (
            self.immediate >= MAX_IMMEDIATE_CRASHES
            or self.alone >= MAX_LONE_CRASHES
            or self.shared + self.alone >= MAX_STABLE_CRASHES
        )

    @property
    def is_isolation_strict(self) -> bool:
        """Return whether the task must not share a worker any more."""
        return self.crashes >= STRICT_ISOLATION_CRASHES

    @property
    def survival_s(self) -> float:
        """Return how long a run must last to clear the task."""
        longest_s = self.longest_ms / MS_PER_S
        return max(MIN_SURVIVAL_S, SURVIVAL_FACTOR * longest_s)
