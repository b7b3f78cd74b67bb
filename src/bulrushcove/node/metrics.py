"""Prometheus metrics of the node program."""

from ..batch.engine import Engine
from ..batch.job_state import Job
from ..batch.organisation_status import OrganisationStatus
from ..batch.plan import Plan
from ..metrics import Metrics
from .organisation_reports import OrganisationReports


class NodeMetrics:
    """Metrics of one process, served on the metrics address."""

    def __init__(self, metrics: Metrics) -> None:
        """Register the collectors."""
        self.registry = metrics
        self._calls = metrics.counter(
            'bulrushcove_calls_total', 'Answers to callers by status.'
        )
        self._refused_clients = metrics.counter(
            'bulrushcove_clients_refused_total',
            'Requests and connections outside the limits by reason.',
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
        self._organisation_reports = OrganisationReports()
        self._organisation_used = metrics.gauge(
            'bulrushcove_organisation_used',
            'What an organisation has running, by resource.',
        )
        self._organisation_limit = metrics.gauge(
            'bulrushcove_organisation_limit',
            'What an organisation may have running, by resource; 0: any.',
        )
        self._organisation_share_percent = metrics.gauge(
            'bulrushcove_organisation_share_percent',
            'Share of an organisation of all that run or wait, by weight.',
        )
        self._organisation_waiting = metrics.gauge(
            'bulrushcove_organisation_waiting_units',
            'Units that wait for the limit of their organisation, or for room.',
        )
        self._accused_runs = metrics.counter(
            'bulrushcove_accused_runs_total',
            'Runs whose worker crashed soon after their start.',
        )
        self._jobs_given_up = metrics.counter(
            'bulrushcove_jobs_given_up_total',
            'Jobs that failed as a task crashes its workers.',
        )
        self._suspected_runs = metrics.counter(
            'bulrushcove_suspected_runs_total',
            'Runs that were silent for longer than expected, by basis.',
        )
        self._stalled_runs = metrics.counter(
            'bulrushcove_stalled_runs_total',
            'Runs that were stopped as they stood still, by basis.',
        )
        self._interfering_pairs = metrics.gauge(
            'bulrushcove_interfering_pairs',
            'Pairs of images of which one certainly slows the other.',
        )
        self._loop_delay_seconds = metrics.histogram(
            'bulrushcove_loop_delay_seconds',
            'Delays of the event loop above 10 ms.',
        )

    def record_refused_client(self, reason: str) -> None:
        """Count a request or connection that was outside the limits."""
        self._refused_clients.inc({'reason': reason})

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

    def record_evidence(self, plan: Plan) -> None:
        """Count the runs that may have crashed, or stand still on, a worker."""
        for accused in plan.accused:
            self._accused_runs.inc({})
            if accused.history.is_conclusive:
                self._jobs_given_up.inc({})
        for suspicion in plan.suspicions:
            basis = suspicion.expectation.basis
            self._suspected_runs.inc({'basis': basis.value})
        for stall in plan.stalls:
            self._stalled_runs.inc({'basis': stall.basis.value})

    def record_engine_state(self, engine: Engine, now_s: float) -> None:
        """Set the gauges from the leader's engine."""
        self._active_jobs.set({}, len(engine.active))
        usable = sum(
            1
            for worker in engine.workers.values()
            if worker.has_reported and not worker.failed_polls
        )
        self._usable_workers.set({}, usable)
        self._interfering_pairs.set({}, len(engine.interference.named_pairs))
        for status in self._organisation_reports.take(engine, now_s):
            self._record_organisation(status)

    def _record_organisation(self, status: OrganisationStatus) -> None:
        """Set the gauges of one organisation."""
        labels = {'organisation': status.name}
        for gauge, size in (
            (self._organisation_used, status.used),
            (self._organisation_limit, status.limit),
        ):
            gauge.set({**labels, 'resource': 'millicores'}, size.cpu_millicores)
            gauge.set({**labels, 'resource': 'memory_mb'}, size.memory_mb)
            gauge.set({**labels, 'resource': 'accelerators'}, size.accelerators)
        self._organisation_share_percent.set(labels, status.share_percent)
        self._organisation_waiting.set(
            {**labels, 'for': 'limit'}, status.waiting_for_limit
        )
        self._organisation_waiting.set(
            {**labels, 'for': 'room'}, status.waiting_for_room
        )
