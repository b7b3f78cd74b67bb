"""Replays job arrivals through a scheduler with a manual clock."""

import random
from collections.abc import Callable, Sequence

import msgspec

from bulrushcove.clock import MS_PER_S, ManualClock
from bulrushcove.configuration import Configuration
from bulrushcove.domain_selection import best_fit_domain
from bulrushcove.exceptions import RefusedError
from bulrushcove.ids import DomainName, Epoch, JobId, Revision, VmId
from bulrushcove.job import JobRecord
from bulrushcove.job_domain import choose_domain
from bulrushcove.messages import DomainView
from bulrushcove.scheduling_model import DomainSnapshot, ObservedRuns, Plan
from bulrushcove.states import DomainState, JobState
from bulrushcove.worker_reliability import WorkerReliability
from dev.measure.arrivals import (
    ARRIVALS_S,
    Arrival,
    make_arrivals,
    make_contracts,
)
from dev.measure.cluster_fake import (
    ACCELERATORS,
    STOP_DELAY_S,
    Domain,
    Job,
    Run,
)
from dev.measure.tally import DOMAIN_CHANGE_S, Tally

DOMAINS = (
    DomainName('fray-bentos'),
    DomainName('guichon'),
    DomainName('centenario'),
)
OUT_OF_SERVICE_DOMAIN = DOMAINS[1]
OUT_OF_SERVICE_AT_S, BACK_IN_SERVICE_AT_S = DOMAIN_CHANGE_S
# This worker fails each gang that it starts in this period.
FAULTY_WORKER = f'{DOMAINS[0]}-3'
FAULTY_PERIOD_S = (900.0, 1800.0)
MAX_FAILURES = 3
# A pass runs on each change, and at this interval without one.
PASS_INTERVAL_S = 5
MAX_OBSERVED_RUNS = 20
MOVE_AFTER_S = 5.0
MAX_MOVES_PER_PASS = 2
END_S = ARRIVALS_S * 4

Planner = Callable[[DomainSnapshot], Plan]


class SchedulerVariant(msgspec.Struct, frozen=True):
    """A scheduler and how the cluster is run with it."""

    name: str
    planner: Planner
    # Checkpoints tasks before it stops them, moves jobs off a domain that
    # goes out of service, and quarantines workers that fail every gang.
    has_safeguards: bool


class Replay:
    """One run of one scheduler variant over the arrivals of one seed."""

    def __init__(
        self, variant: SchedulerVariant, seed: int, load: float
    ) -> None:
        """Prepare the run."""
        self._variant = variant
        self._clock = ManualClock(0.0)
        self._reliability = (
            WorkerReliability() if variant.has_safeguards else None
        )
        self._domains = {
            name: Domain(name, self._reliability) for name in DOMAINS
        }
        self._contracts = make_contracts()
        self._arrivals = make_arrivals(seed, load)
        self._observed: dict[tuple[str, str], list[float]] = {}
        self._random = random.Random(seed)
        self.jobs: list[Job] = []
        self.tally = Tally()

    def run(self) -> 'Replay':
        """Simulate in steps of one second until all jobs have ended."""
        waiting = list(reversed(self._arrivals))
        while waiting or self._has_unfinished_jobs():
            now_s = self._clock.monotonic_s()
            if now_s > END_S:
                break
            while waiting and waiting[-1].at_s <= now_s:
                self._submit(waiting.pop())
            self._end_runs(now_s)
            self._change_domain(now_s)
            self._schedule(now_s)
            self.tally.count(
                [each for each in self._domains.values() if each.in_service],
                self._contracts,
                now_s,
            )
            self._clock.advance(1)
        return self

    def _has_unfinished_jobs(self) -> bool:
        return any(
            domain.queue or domain.runs for domain in self._domains.values()
        )

    def _submit(self, arrival: Arrival) -> None:
        job = JobId(f'job-{len(self.jobs):05d}')
        record = JobRecord(
            job=job,
            organisation=arrival.organisation,
            spec=arrival.spec,
            state=JobState.QUEUED,
            domain=DOMAINS[0],
            accepted_unix_ms=int(arrival.at_s * MS_PER_S),
        )
        entry = Job(arrival, record)
        try:
            domain = self._choose_domain(record)
        except RefusedError:
            self.tally.refused += 1
            return
        self.jobs.append(entry)
        self._domains[domain].enqueue(entry)

    def _choose_domain(self, record: JobRecord) -> DomainName:
        states = {
            name: DomainState.IN_SERVICE
            if domain.in_service
            else DomainState.OUT_OF_SERVICE
            for name, domain in self._domains.items()
        }
        configuration = Configuration(Revision(1), self._contracts, states)
        now_s = self._clock.monotonic_s()
        views = [_make_view(domain, now_s) for domain in self._domains.values()]
        chosen = choose_domain(
            record.spec,
            self._contracts[record.organisation],
            configuration,
            views,
            self._random.choice(DOMAINS),
        )
        if not self._variant.has_safeguards:
            return chosen
        in_service_views = [
            view
            for view in views
            if states[view.domain] is DomainState.IN_SERVICE
        ]
        return best_fit_domain(record.spec, in_service_views) or chosen

    def _end_runs(self, now_s: float) -> None:
        for domain in self._domains.values():
            for run in list(domain.runs.values()):
                stops_at_s = END_S if run.stops_at_s is None else run.stops_at_s
                if run.ends_at_s() <= min(now_s, stops_at_s):
                    self._complete_run(domain, run, run.ends_at_s())
                elif stops_at_s <= now_s:
                    self._stop_run(domain, run, now_s)

    def _complete_run(self, domain: Domain, run: Run, now_s: float) -> None:
        self._remove_run(domain, run)
        job = run.job
        if run.fails:
            self._fail_run(domain, run, now_s)
            return
        job.ended_s = now_s
        run_time_s = run.run_time_s(now_s)
        kind = (job.record.organisation, job.record.spec.kind)
        runs = self._observed.setdefault(kind, [])
        runs.append(run_time_s)
        self._observed[kind] = runs[-MAX_OBSERVED_RUNS:]
        self.tally.record_completed(run, now_s)
        for placed in run.job_start.placement:
            if self._reliability:
                self._reliability.record_success(placed.worker, job.record)

    def _fail_run(self, domain: Domain, run: Run, now_s: float) -> None:
        job = run.job
        if self._reliability:
            self._reliability.record_failure(FAULTY_WORKER, job.record, now_s)
        failures = job.record.failures + 1
        job.record = msgspec.structs.replace(job.record, failures=failures)
        if failures < MAX_FAILURES:
            domain.enqueue(job)
        else:
            job.ended_s = now_s
            job.failed = True

    def _stop_run(self, domain: Domain, run: Run, now_s: float) -> None:
        """Stop a gang early; its work is saved by a checkpoint or lost."""
        self._remove_run(domain, run)
        job = run.job
        run_time_s = run.run_time_s(now_s)
        if self._variant.has_safeguards and job.arrival.saves_checkpoints:
            job.saved_s += run_time_s
            self.tally.record_completed(run, now_s)
        else:
            self.tally.record_lost(run, now_s)
        self._domains[self._select_domain(domain, job)].enqueue(job)

    def _remove_run(self, domain: Domain, run: Run) -> None:
        domain.runs.pop(run.attempt.attempt)
        domain.needs_pass = True

    def _select_domain(self, domain: Domain, job: Job) -> DomainName:
        return (
            domain.name
            if domain.in_service
            else self._choose_domain(job.record)
        )

    def _change_domain(self, now_s: float) -> None:
        domain = self._domains[OUT_OF_SERVICE_DOMAIN]
        if now_s == OUT_OF_SERVICE_AT_S:
            domain.in_service = False
            domain.reservations = ()
            for run in domain.runs.values():
                run.stops_at_s = (
                    now_s + STOP_DELAY_S * self._variant.has_safeguards
                )
            for job in list(domain.queue.values()):
                domain.queue.pop(job.record.job)
                self._domains[self._select_domain(domain, job)].enqueue(job)
        elif now_s == BACK_IN_SERVICE_AT_S:
            domain.in_service = True
            domain.needs_pass = True

    def _schedule(self, now_s: float) -> None:
        for domain in self._domains.values():
            is_due = domain.needs_pass or now_s % PASS_INTERVAL_S == 0
            if domain.in_service and domain.queue and is_due:
                domain.needs_pass = False
                self._run_pass(domain, now_s)

    def _run_pass(self, domain: Domain, now_s: float) -> None:
        plan = self._variant.planner(
            msgspec.structs.replace(
                domain.snapshot(now_s),
                contracts=self._contracts,
                observed_runs=_make_observed_runs(self._observed),
            )
        )
        domain.reservations = plan.reservations
        if self._variant.has_safeguards:
            self._move_waiting_jobs(domain, plan, now_s)
        for job_start in plan.starts:
            run = domain.start(job_start, now_s)
            workers = {placed.worker for placed in job_start.placement}
            is_faulty = FAULTY_PERIOD_S[0] <= now_s < FAULTY_PERIOD_S[1]
            run.fails = is_faulty and FAULTY_WORKER in workers
        for preemption in plan.preemptions:
            domain.runs[preemption.attempt].stops_at_s = now_s + STOP_DELAY_S
        for unrunnable in plan.unrunnable_jobs:
            job = domain.queue.pop(unrunnable.job)
            job.ended_s = now_s
            job.failed = True

    def _move_waiting_jobs(
        self, domain: Domain, plan: Plan, now_s: float
    ) -> None:
        """Move a few waiting jobs to domains with free accelerators."""
        placed = {job_start.job for job_start in plan.starts}
        waiting = [
            job
            for job in domain.queue.values()
            if job.record.job not in placed
            and now_s - job.arrival.at_s > MOVE_AFTER_S
        ]
        moved = 0
        for job in waiting:
            target = self._find_domain_with_capacity(
                job.record.spec.accelerators
            )
            if target is not None and moved < MAX_MOVES_PER_PASS:
                domain.queue.pop(job.record.job)
                target.enqueue(job)
                moved += 1

    def _find_domain_with_capacity(self, accelerators: int) -> Domain | None:
        for domain in self._domains.values():
            is_available = domain.in_service
            free = domain.free_accelerators(self._clock.monotonic_s())
            if is_available and free >= accelerators:
                return domain
        return None


def _make_observed_runs(
    runs: dict[tuple[str, str], list[float]],
) -> tuple[ObservedRuns, ...]:
    return tuple(
        ObservedRuns(organisation, kind, tuple(times))
        for (organisation, kind), times in runs.items()
    )


def _make_view(domain: Domain, now_s: float) -> DomainView:
    total = len(domain.workers) * ACCELERATORS
    return DomainView(
        domain=domain.name,
        control=VmId('vm'),
        epoch=Epoch(1),
        workers=len(domain.workers),
        usable_workers=len(domain.workers),
        free_accelerators=domain.free_accelerators(now_s),
        total_accelerators=total,
        largest_rack=total,
        largest_worker=ACCELERATORS,
        queued_jobs=len(domain.queue),
        running_jobs=len(domain.runs),
    )


def replay_all(
    variants: Sequence[SchedulerVariant], seed: int, load: float
) -> dict[str, Replay]:
    """Return the replay of each variant over the same arrivals, by name."""
    return {
        variant.name: Replay(variant, seed, load).run() for variant in variants
    }
