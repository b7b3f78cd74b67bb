"""Scheduling pass over a domain.

Urgent jobs are tried first, then jobs within the guarantees, then reservations
for large jobs and borrowed work.
"""

from collections.abc import Callable, Generator, Iterable, Iterator

from .borrowed_start import (
    backfill,
    make_reservations,
    preempt_for_urgent,
    start_borrowed,
)
from .guaranteed_start import (
    is_small_for_guarantee,
    preempt_for_guarantee,
    preempt_own_organisation,
    start_guaranteed,
)
from .job import JobRecord
from .pass_state import PassState
from .pending_preemptions import resume_pending_preemptions
from .queue_order import by_age, fair_order, is_urgent, waited_s
from .scheduling_model import DomainSnapshot, Plan
from .unrunnable_jobs import make_unrunnable_check
from .worker_probes import place_probes

# Small normal jobs wait this long for free capacity before they preempt
# other work.
SMALL_JOB_WAIT_S = 60.0

# Preemption searches for normal jobs in one pass; limits its duration.
MAX_PREEMPTION_SEARCHES = 32

Steps = Generator[None, None, Plan]


def plan(snapshot: DomainSnapshot) -> Plan:
    """Return the decisions of a whole pass over ``snapshot``."""
    steps = plan_in_steps(snapshot)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


def plan_in_steps(snapshot: DomainSnapshot) -> Steps:
    """Decide as ``plan`` does, and yield after each job.

    The caller may run other tasks of its event loop between the steps.
    """
    state = PassState(snapshot)
    yield
    runnable = _runnable_jobs(state)
    resume_pending_preemptions(state, runnable)
    waiting = [record for record in runnable if state.is_undecided(record)]
    yield
    yield from _try_each(_try_urgent, state, by_age(filter(is_urgent, waiting)))
    normal = [record for record in waiting if not is_urgent(record)]
    yield from _try_each(_try_guaranteed, state, _in_fair_order(state, normal))
    rest = [record for record in normal if state.is_undecided(record)]
    place_probes(state, rest)
    yield from make_reservations(state, rest)
    yield from _try_each(_try_borrowed, state, _in_fair_order(state, rest))
    return state.build_plan()


def _try_each(
    attempt: Callable[[PassState, JobRecord], None],
    state: PassState,
    records: Iterable[JobRecord],
) -> Iterator[None]:
    for record in records:
        attempt(state, record)
        yield


def _runnable_jobs(state: PassState) -> list[JobRecord]:
    """Return the jobs that can run here; mark the others as unrunnable."""
    find_reason = make_unrunnable_check(state.snapshot)
    waiting = []
    for record in state.snapshot.queued:
        if record.cancel_requested:
            continue
        if record.organisation not in state.snapshot.contracts:
            state.record_wait(record, 'the organisation has no contract')
            continue
        reason = find_reason(record)
        if reason:
            state.mark_unrunnable(record, reason)
        else:
            waiting.append(record)
    return waiting


def _in_fair_order(
    state: PassState, records: Iterable[JobRecord]
) -> Iterable[JobRecord]:
    return fair_order(
        records, state.usage, state.runtimes, state.snapshot.now_unix_ms
    )


def _try_urgent(state: PassState, record: JobRecord) -> None:
    """Start an urgent job, by preemption if necessary."""
    if start_guaranteed(state, record) or start_borrowed(state, record):
        return
    if preempt_for_guarantee(state, record) or preempt_for_urgent(
        state, record
    ):
        return
    preempt_own_organisation(state, record)


def _try_guaranteed(state: PassState, record: JobRecord) -> None:
    """Start a job within the guarantee, by preemption if necessary."""
    if not state.guarantees.slots_of(record.organisation):
        return
    if start_guaranteed(state, record) or start_borrowed(state, record):
        return
    if is_small_for_guarantee(state, record):
        now_unix_ms = state.snapshot.now_unix_ms
        if waited_s(record, now_unix_ms) < SMALL_JOB_WAIT_S:
            state.record_wait(
                record, 'waits for free capacity before preempting others'
            )
            return
    requirements = (record.organisation, *state.requirements(record))
    if (
        requirements in state.failed_preemptions
        or state.preemption_searches >= MAX_PREEMPTION_SEARCHES
    ):
        return
    state.preemption_searches += 1
    if not (
        preempt_for_guarantee(state, record)
        or preempt_own_organisation(state, record)
    ):
        state.failed_preemptions.add(requirements)


def _try_borrowed(state: PassState, record: JobRecord) -> None:
    """Start a job beyond the guarantee if there is free capacity."""
    if state.is_undecided(record) and record.job not in state.reservations:
        if not start_borrowed(state, record):
            backfill(state, record)
