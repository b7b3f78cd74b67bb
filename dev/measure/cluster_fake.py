"""Simulated failure domains whose workers run gangs by a clock."""

from collections import defaultdict
from collections.abc import Iterator

import msgspec

from bulrushcove.clock import MS_PER_S
from bulrushcove.ids import (
    AttemptId,
    DomainName,
    Epoch,
    JobId,
    RackId,
    WorkerId,
)
from bulrushcove.job import Attempt, JobRecord
from bulrushcove.scheduling_model import (
    DomainSnapshot,
    JobStart,
    Reservation,
    RunningGang,
    WorkerCapacity,
)
from bulrushcove.states import JobState
from bulrushcove.worker_api import WorkerDescription
from bulrushcove.worker_reliability import WorkerReliability
from dev.measure.arrivals import Arrival

WORKERS_PER_RACK = 8
ACCELERATORS = 8
CORES = 32
MEMORY_MB = 65536
# From a decision until the workers have started or stopped a gang.
START_DELAY_S = 1.0
STOP_DELAY_S = 2.0


class Job(msgspec.Struct):
    """A submitted job and its outcome."""

    arrival: Arrival
    record: JobRecord
    # Run time saved by checkpoints so far.
    saved_s: float = 0.0
    ended_s: float | None = None
    # Since when it waits although it is within the guarantee.
    guaranteed_since_s: float | None = None
    failed: bool = False


class Run(msgspec.Struct):
    """A gang that runs on workers."""

    job: Job
    job_start: JobStart
    attempt: Attempt
    started_s: float
    # When the workers will have stopped it; None: no stop requested.
    stops_at_s: float | None = None
    fails: bool = False

    def ends_at_s(self) -> float:
        """Return when the gang ends unless it is stopped."""
        if self.fails:
            return self.started_s + 1
        remaining_s = self.job.arrival.run_s - self.job.saved_s
        return self.started_s + remaining_s

    def run_time_s(self, now_s: float) -> float:
        """Return how long the gang has run."""
        return max(now_s - self.started_s, 0)


class Domain:
    """Workers, queue and runs of one failure domain."""

    def __init__(
        self, name: DomainName, reliability: WorkerReliability | None
    ) -> None:
        """Start with idle workers in one rack."""
        self.name = name
        self.in_service = True
        self.queue: dict[JobId, Job] = {}
        self.runs: dict[AttemptId, Run] = {}
        self.reservations: tuple[Reservation, ...] = ()
        self.needs_pass = True
        self._reliability = reliability
        self.workers = {
            WorkerId(f'{name}-{number}'): WorkerDescription(
                worker=WorkerId(f'{name}-{number}'),
                domain=name,
                rack=RackId(f'{name}-rack'),
                accelerators=ACCELERATORS,
                cores=CORES,
                memory_mb=MEMORY_MB,
            )
            for number in range(WORKERS_PER_RACK)
        }

    def worker_capacities(self, now_s: float) -> Iterator[WorkerCapacity]:
        """Yield the free capacity of each worker."""
        used: dict[WorkerId, list[int]] = defaultdict(lambda: [0, 0, 0])
        for run in self.runs.values():
            spec = run.job.record.spec
            for placed in run.job_start.placement:
                tasks = len(placed.parts)
                worker_used = used[placed.worker]
                worker_used[0] += tasks * spec.accelerators_per_task
                worker_used[1] += tasks * spec.cores_per_task
                worker_used[2] += tasks * spec.memory_mb_per_task
        for worker, description in self.workers.items():
            reliable = (
                self._reliability is None
                or self._reliability.is_reliable(worker)
            )
            yield WorkerCapacity(
                description=description,
                free_accelerators=ACCELERATORS - used[worker][0],
                free_cores=CORES - used[worker][1],
                free_memory_mb=MEMORY_MB - used[worker][2],
                usable=reliable or self._is_probe_due(worker, now_s),
                is_probe_only=not reliable,
            )

    def snapshot(self, now_s: float) -> DomainSnapshot:
        """Return the input of a scheduling pass, without contracts."""
        return DomainSnapshot(
            domain=self.name,
            now_s=now_s,
            now_unix_ms=int(now_s * MS_PER_S),
            workers=tuple(self.worker_capacities(now_s)),
            running=tuple(
                _make_running_gang(run, now_s) for run in self.runs.values()
            ),
            queued=tuple(job.record for job in self.queue.values()),
            contracts={},
            reservations=self.reservations,
        )

    def start(self, job_start: JobStart, now_s: float) -> Run:
        """Start a queued job as the plan places it."""
        job = self.queue.pop(job_start.job)
        number = job.record.attempts + 1
        attempt = Attempt(
            attempt=AttemptId(f'{job_start.job}.{number}'),
            epoch=Epoch(1),
            placement=job_start.placement,
            borrowed=job_start.borrowed,
            cover=job_start.slot_name,
        )
        job.record = msgspec.structs.replace(
            job.record,
            state=JobState.RUNNING,
            attempts=number,
            current=attempt,
        )
        run = Run(job, job_start, attempt, now_s + START_DELAY_S)
        self.runs[attempt.attempt] = run
        return run

    def enqueue(self, job: Job) -> None:
        """Queue a new, stopped or moved job."""
        job.guaranteed_since_s = None
        job.record = msgspec.structs.replace(
            job.record, state=JobState.QUEUED, current=None, domain=self.name
        )
        self.queue[job.record.job] = job
        self.needs_pass = True

    def free_accelerators(self, now_s: float) -> int:
        """Return the free accelerators of workers that take normal jobs."""
        return sum(
            capacity.free_accelerators
            for capacity in self.worker_capacities(now_s)
            if capacity.usable and not capacity.is_probe_only
        )

    def _is_probe_due(self, worker: WorkerId, now_s: float) -> bool:
        return self._reliability is not None and self._reliability.is_probe_due(
            worker, now_s
        )


def _make_running_gang(run: Run, now_s: float) -> RunningGang:
    return RunningGang(
        job=run.job.record.job,
        attempt=run.attempt.attempt,
        organisation=run.job.record.organisation,
        record=run.job.record,
        placement=run.job_start.placement,
        borrowed=run.job_start.borrowed,
        started_s=run.started_s,
        # The scheduler does not know which tasks ignore checkpoints.
        unsaved_s=run.run_time_s(now_s),
        stopping=run.stops_at_s is not None,
    )
