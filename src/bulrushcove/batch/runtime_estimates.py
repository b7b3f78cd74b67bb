"""Estimates of run times from completed runs.

Declared run times are off by up to 90 percent in both directions, so they are
used only until enough runs of the queue have completed.
"""

import math

import msgspec

from ..clock import MS_PER_S
from ..ids import JobId
from .ids import QueueName
from .job_spec import JobSpec, StepSpec
from .job_state import Unit, UnitPhase

# Runs after which the mean of a queue replaces the declared time.
MIN_OBSERVED_RUNS = 3
# Weight of a new run in the mean; about the last ten runs count.
NEW_RUN_WEIGHT = 0.1
# Expected duration of a task that declares none.
DEFAULT_TASK_MS = 5000
COMPLETE_PERCENT = 100
# Jobs of at least so many steps, in which the search of the longest chain goes
# through up to 100,000 dependencies, keep it between passes.
MIN_KEPT_PATH_STEPS = 64
MAX_KEPT_PATHS = 256
PATH_TOLERANCE = 0.02
# From this progress on a run's own rate predicts better than the queue's mean.
MIN_RATE_PERCENT = 10
# Services run until cancelled; they are estimated as if they ended after this.
SERVICE_TASK_MS = 10_000


class _Mean(msgspec.Struct):
    count: int = 0
    mean_ms: float = 0.0

    def add(self, duration_ms: float) -> None:
        self.count += 1
        weight = max(NEW_RUN_WEIGHT, 1 / self.count)
        self.mean_ms += weight * (duration_ms - self.mean_ms)


class RuntimeEstimates:
    """Moving means of run times by queue."""

    def __init__(self) -> None:
        """Start without any completed run."""
        self._means: dict[QueueName, _Mean] = {}
        # Of jobs of many steps, with the mean that they were computed from.
        self._paths: dict[JobId, tuple[float, float]] = {}

    def record_run(self, queue: QueueName, duration_s: float) -> None:
        """Record a run of ``duration_s`` from its start to its completion.

        A run resumed from a checkpoint says little about the whole run time
        and must not be recorded.
        """
        self._means.setdefault(queue, _Mean()).add(duration_s * MS_PER_S)

    def task_ms(self, queue: QueueName, step: StepSpec) -> float:
        """Return the expected milliseconds of a task of ``step``."""
        if step.is_service:
            return SERVICE_TASK_MS
        mean = self._means.get(queue)
        if mean is not None and mean.count >= MIN_OBSERVED_RUNS:
            return mean.mean_ms
        return step.estimated_ms or DEFAULT_TASK_MS

    def critical_path_ms(self, spec: JobSpec) -> float:
        """Return the expected milliseconds of the longest chain of steps.

        That of a job of many steps is kept until the mean of its queue has
        changed by ``PATH_TOLERANCE``.
        """
        if len(spec.steps) < MIN_KEPT_PATH_STEPS:
            return self._compute_path_ms(spec)
        mean = self._means.get(spec.terms.queue)
        mean_ms = mean.mean_ms if mean else 0
        known_mean_ms, path_ms = self._paths.get(spec.job, (math.inf, 0))
        if abs(mean_ms - known_mean_ms) > PATH_TOLERANCE * mean_ms:
            path_ms = self._compute_path_ms(spec)
            if len(self._paths) >= MAX_KEPT_PATHS:
                self._paths.clear()
            self._paths[spec.job] = (mean_ms, path_ms)
        return path_ms

    def remaining_ms(self, unit: Unit) -> float:
        """Return the expected milliseconds until ``unit`` is done."""
        total_ms = self.task_ms(unit.job.spec.terms.queue, unit.spec)
        is_running = unit.phase is UnitPhase.ACTIVE and unit.allocations
        # A service reports 100 percent at full work and goes on.
        if unit.spec.is_service or not is_running:
            return total_ms
        allocations = unit.allocations.values()
        percent = min(allocation.percent for allocation in allocations)
        remaining = 1 - percent / COMPLETE_PERCENT
        if percent < MIN_RATE_PERCENT:
            return total_ms * remaining
        # The rate so far includes slow workers and remote data.
        elapsed_s = max(
            allocation.last_progress_at_s
            - (allocation.start_confirmed_at_s or allocation.last_progress_at_s)
            for allocation in allocations
        )
        return elapsed_s * MS_PER_S * remaining / (1 - remaining)

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

    def _compute_path_ms(self, spec: JobSpec) -> float:
        """Return the milliseconds of the longest chain by the present means."""
        queue = spec.terms.queue
        ends_ms: list[float] = []
        for step in spec.steps:
            start_ms = max(
                (ends_ms[predecessor] for predecessor in step.after), default=0
            )
            ends_ms.append(start_ms + self.task_ms(queue, step))
        return max(ends_ms)
