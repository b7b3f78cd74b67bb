"""Prometheus metrics of the node program."""

from ..batch.engine import Engine
from ..batch.exceptions import JobRefusedError
from ..batch.job_state import Job
from ..batch.plan import PreemptedUnit
from ..batch.worker_crashes import AccusedRun
from ..metrics import Metrics


class NodeMetrics:
    """Metrics of one process, served on the metrics address."""

    def __init__(self, metrics: Metrics) -> None:
        """Register the collectors."""
        self.registry = metrics
        self._calls = metrics.counter(
            'bulrushcove_calls_total', 'Answers to callers by status.'
        )
        self._call_seconds = metrics.histogram(
            'bulrushcove_call_seconds', 'Time to answer callers.'
        )
        self._accepted_jobs = metrics.counter(
            'bulrushcove_jobs_accepted_total', 'Jobs accepted by queue.'
        )
        self._active_jobs = metrics.gauge(
            'bulrushcove_jobs_active', 'Jobs that have not ended.'
        )
        self._usable_workers = metrics.gauge(
            'bulrushcove_workers_usable', 'Workers that answer.'
        )
        self._accused_runs = metrics.counter(
            'bulrushcove_accused_runs_total',
            'Runs whose worker crashed soon after their start.',
        )
        self._jobs_given_up = metrics.counter(
            'bulrushcove_jobs_given_up_total',
            'Jobs that failed as a task crashes its workers.',
        )
        self._refused_jobs = metrics.counter(
            'bulrushcove_jobs_refused_total', 'Jobs refused by cause.'
        )
        self._preempted_core_seconds = metrics.counter(
            'bulrushcove_preempted_core_seconds_total',
            'Work lost by stops for urgent units.',
        )
        self._backlog_seconds = metrics.gauge(
            'bulrushcove_backlog_seconds',
            'Time that the pool with most work needs for all of it.',
        )
        self._loop_delay_seconds = metrics.histogram(
            'bulrushcove_loop_delay_seconds',
            'Delays of the event loop above 10 ms.',
        )

    def record_response(
        self, method: str, status: int, duration_s: float
    ) -> None:
        """Count a response to a caller and observe its duration."""
        labels = {'method': method, 'status': str(status)}
        self._calls.inc(labels)
        self._call_seconds.observe({'method': method}, duration_s)

    def record_loop_delay(self, delay_s: float) -> None:
        """Observe how late the event loop ran a timer."""
        self._loop_delay_seconds.observe({}, delay_s)

    def record_accepted_job(self, job: Job) -> None:
        """Count an accepted job."""
        self._accepted_jobs.inc({'queue': job.spec.terms.queue})

    def record_accused_run(self, accused: AccusedRun) -> None:
        """Count a run that may have crashed its worker."""
        self._accused_runs.inc({})
        if accused.history.is_conclusive:
            self._jobs_given_up.inc({})

    def record_refused_job(self, refused: JobRefusedError) -> None:
        """Count a refused job."""
        self._refused_jobs.inc({'cause': refused.cause.value})

    def record_preempted_unit(self, preempted: PreemptedUnit) -> None:
        """Add the work that is lost with a preempted unit."""
        self._preempted_core_seconds.add({}, preempted.loss_core_s)

    def record_engine_state(self, engine: Engine) -> None:
        """Set the gauges from the leader's engine."""
        self._active_jobs.set({}, len(engine.active))
        usable = sum(
            1
            for worker in engine.workers.values()
            if worker.has_reported and not worker.failed_polls
        )
        self._usable_workers.set({}, usable)
        backlogs_s = engine.overload.forecasts.latest_backlogs_s()
        self._backlog_seconds.set({}, max(backlogs_s.values(), default=0))
