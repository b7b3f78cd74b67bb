"""Run times, learnt from ends.

Declared times are off by up to nine tenths either way, so they serve only
until enough runs of the queue have ended.
"""

import msgspec

from ..clock import MS_PER_S
from .ids import QueueName
from .job_spec import JobSpec, StepSpec
from .job_state import Unit, UnitPhase

# Runs after which the mean of a queue goes before the declared time.
MIN_OBSERVED = 3
# Weight of a new run in the mean; about the last ten runs count.
NEW_WEIGHT = 0.1
# Expected duration of a task that declares none.
DEFAULT_MS = 5000
# A run that did not begin from the start says little about the whole.
WHOLE_PERCENT = 100
# From here on the rate of a run says more than the mean of its queue.
MIN_RATE_PERCENT = 10
# Work of a service step is counted as if it ended after this time.
SERVICE_MS = 10_000


class _Mean(msgspec.Struct):
    count: int = 0
    mean_ms: float = 0.0

    def add(self, duration_ms: float) -> None:
        self.count += 1
        weight = max(NEW_WEIGHT, 1 / self.count)
        self.mean_ms += weight * (duration_ms - self.mean_ms)


class RuntimeEstimates:
    """Mean run times by queue."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._means: dict[QueueName, _Mean] = {}

    def record_run(self, queue: QueueName, duration_ms: float) -> None:
        """Take note of a whole run of ``duration_ms``."""
        self._means.setdefault(queue, _Mean()).add(duration_ms)

    def task_ms(self, queue: QueueName, step: StepSpec) -> float:
        """Return the expected milliseconds of a task of ``step``."""
        if step.is_service:
            return SERVICE_MS
        mean = self._means.get(queue)
        if mean is not None and mean.count >= MIN_OBSERVED:
            return mean.mean_ms
        return step.estimated_ms or DEFAULT_MS

    def critical_path_ms(self, spec: JobSpec) -> float:
        """Return the expected milliseconds of the longest chain of steps."""
        queue = spec.terms.queue
        ends: list[float] = []
        for step in spec.steps:
            begin = max((ends[before] for before in step.after), default=0)
            ends.append(begin + self.task_ms(queue, step))
        return max(ends)

    def remaining_ms(self, unit: Unit) -> float:
        """Return the expected milliseconds until ``unit`` is done."""
        whole_ms = self.task_ms(unit.job.spec.terms.queue, unit.spec)
        is_running = unit.phase is UnitPhase.ACTIVE and unit.allocations
        # At full work a service shows 100 percent and goes on.
        if unit.spec.is_service or not is_running:
            return whole_ms
        allocations = unit.allocations.values()
        percent = min(allocation.percent for allocation in allocations)
        left = 1 - percent / WHOLE_PERCENT
        if percent < MIN_RATE_PERCENT:
            return whole_ms * left
        # The rate so far also tells of slow workers and distant data.
        took_s = max(
            allocation.last_progress_at_s
            - (allocation.start_confirmed_at_s or allocation.last_progress_at_s)
            for allocation in allocations
        )
        return took_s * MS_PER_S * left / (1 - left)

    def objective_s(self, spec: JobSpec) -> float:
        """Return the seconds within which the job is on time."""
        terms = spec.terms
        allowed_ms = (
            terms.stretch * self.critical_path_ms(spec) + terms.target_ms
        )
        return allowed_ms / MS_PER_S

    def slack_s(self, spec: JobSpec) -> float:
        """Return how many seconds the job can wait and still be on time."""
        return self.objective_s(spec) - self.critical_path_ms(spec) / MS_PER_S
