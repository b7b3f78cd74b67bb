"""Which steps of a job are done, and which may start.

A scheduling pass asks it of every job, so it does not go through the tasks or
the dependencies of a step again and again: a dependency that was once found
done stays done.
"""

from collections.abc import Sequence
from itertools import accumulate, repeat

from .job_spec import JobSpec, StepSpec


def count_units(step: StepSpec) -> int:
    """Return the number of units of ``step``: one for a gang."""
    return 1 if step.is_gang else step.task_count


class StepProgress:
    """Units of each step of each occurrence of a job that are not done."""

    __slots__ = ('_dependencies_done', '_first_units', '_missing', 'missing')

    def __init__(self, spec: JobSpec) -> None:
        """Start a job of ``spec`` of which nothing is done."""
        counts = [count_units(step) for step in spec.steps]
        # Units that are not done, in all and by occurrence and step.
        self.missing = sum(counts) * spec.occurrences
        self._missing = counts * spec.occurrences
        # Leading entries of ``after`` that are known to be done.
        self._dependencies_done = list(repeat(0, len(self._missing)))
        self._first_units = list(accumulate(counts, initial=0))

    @property
    def units_per_occurrence(self) -> int:
        """Return the number of units of one occurrence."""
        return self._first_units[-1]

    @property
    def step_count(self) -> int:
        """Return the number of steps of one occurrence."""
        return len(self._first_units) - 1

    def unit_range(self, occurrence: int, step: int) -> range:
        """Return the positions of a step's units among those of the job."""
        offset = occurrence * self.units_per_occurrence
        return range(
            offset + self._first_units[step],
            offset + self._first_units[step + 1],
        )

    def record_done(self, occurrence: int, step: int) -> None:
        """Record that one more unit of a step is done."""
        self._missing[occurrence * self.step_count + step] -= 1
        self.missing -= 1

    def count_missing(self, occurrence: int, step: int) -> int:
        """Return how many units of a step are not done."""
        return self._missing[occurrence * self.step_count + step]

    def may_start(
        self, occurrence: int, step: int, after: Sequence[int]
    ) -> bool:
        """Return whether all steps in ``after``, those of ``step``, are done.

        Each dependency is looked at again only until it is done.
        """
        position = occurrence * self.step_count + step
        done = self._dependencies_done[position]
        while done < len(after) and not self.count_missing(
            occurrence, after[done]
        ):
            done += 1
        self._dependencies_done[position] = done
        return done == len(after)
