"""State machine of one attempt to run a gang; does no I/O.

Its inputs are responses of workers, failed polls and the time; the module
``instructions`` derives the requests to the workers from its state. Points
in time are in seconds of the monotonic clock.
"""

from .gang import Allocation, GangAttempt, Phase, StopCause, Timing, stop
from .ids import WorkerId
from .job import Attempt, JobRecord
from .states import TaskState
from .worker_api import TaskReport

# A preempted or drained gang has this long to write its checkpoints.
CHECKPOINT_WAIT_S = 3.0

_HOLDING_STATES = frozenset((TaskState.RESERVED, TaskState.RUNNING))


def begin_gang(
    record: JobRecord, attempt: Attempt, now_s: float, timing: Timing
) -> GangAttempt:
    """Return an attempt that was just recorded; no request was sent yet."""
    gang = _new(record, attempt, now_s, Phase.RESERVING)
    gang.start_by_s = now_s + timing.reservation_s
    return gang


def adopt_gang(
    record: JobRecord, attempt: Attempt, now_s: float, timing: Timing
) -> GangAttempt:
    """Return an attempt that a previous control recorded.

    Any part of it may be running.
    """
    gang = _new(record, attempt, now_s, Phase.ADOPTING)
    gang.never_started = not (record.spec.idempotent or attempt.start_recorded)
    for allocation in gang.allocations.values():
        allocation.is_reserve_sent = True
        allocation.may_run_until_s = now_s + timing.max_lease_s
    return gang


def _new(
    record: JobRecord, attempt: Attempt, now_s: float, phase: Phase
) -> GangAttempt:
    allocations = {
        placed.worker: Allocation(placed.parts) for placed in attempt.placement
    }
    return GangAttempt(record, attempt, phase, allocations, now_s)


def handle_response(
    gang: GangAttempt,
    worker: WorkerId,
    sent_at_s: float,
    reports: dict[int, TaskReport],
    refusal: str = '',
) -> None:
    """Apply the reports of a response to a request sent at ``sent_at_s``.

    ``reports`` are the worker's reports on this attempt by part; a part
    that it does not report does not run there. ``refusal`` is the reason for
    which the worker refused the attempt; empty: it did not.
    """
    allocation = gang.allocations[worker]
    allocation.last_contact_at_s = sent_at_s
    allocation.is_unresponsive = False
    if not allocation.is_reserve_sent:
        return
    # A finished part stays finished when the worker no longer reports it.
    allocation.reports = _finished_reports(allocation.reports) | {
        part: reports[part] for part in allocation.parts if part in reports
    }
    gang.checkpoints.update(
        (part, report.checkpoint)
        for part, report in allocation.reports.items()
        if report.checkpoint
    )
    allocation.ended_count = sum(
        report.state not in _HOLDING_STATES
        for report in allocation.reports.values()
    )
    allocation.is_released = allocation.ended_count == len(allocation.reports)
    # A worker may refuse a start that is repeated after a lost response.
    has_started = allocation.all_in(TaskState.RUNNING, TaskState.FINISHED)
    if refusal and not has_started:
        stop(gang, StopCause.REFUSED, f'{worker}: {refusal}')
        return
    _check_reports(gang, worker, allocation)


def _finished_reports(reports: dict[int, TaskReport]) -> dict[int, TaskReport]:
    return {
        part: report
        for part, report in reports.items()
        if report.state is TaskState.FINISHED
    }


def _check_reports(
    gang: GangAttempt, worker: WorkerId, allocation: Allocation
) -> None:
    for part in allocation.parts:
        report = allocation.reports.get(part)
        if report is None or report.state is TaskState.STOPPED:
            stop(gang, StopCause.LOST, f'part {part} on {worker}')
        elif report.state is TaskState.FAILED:
            stop(
                gang,
                StopCause.TASK_FAILED,
                f'part {part} on {worker}: {report.result}',
            )


def handle_failed_poll(
    gang: GangAttempt, worker: WorkerId, now_s: float, timing: Timing
) -> None:
    """Handle a request to ``worker`` that got no response by ``now_s``.

    It may have taken effect at any time until now.
    """
    allocation = gang.allocations[worker]
    allocation.is_unresponsive = True
    if allocation.may_run_until_s and not allocation.is_released:
        allocation.may_run_until_s = max(
            allocation.may_run_until_s, now_s + timing.max_lease_s
        )
    if gang.phase is Phase.RESERVING and allocation.is_reserve_sent:
        stop(gang, StopCause.UNRESPONSIVE, f'{worker} while reserving')


def checkpoint_and_stop(
    gang: GangAttempt, cause: StopCause, now_s: float
) -> None:
    """Stop an attempt, after a checkpoint if it runs."""
    if gang.phase is Phase.RUNNING:
        gang.phase = Phase.CHECKPOINTING
        gang.cause_after_checkpoint = cause
        gang.checkpoint_by_s = now_s + CHECKPOINT_WAIT_S
        for allocation in gang.allocations.values():
            allocation.run_ms_at_request = {
                part: report.run_ms
                for part, report in allocation.reports.items()
            }
    elif gang.phase is not Phase.CHECKPOINTING:
        stop(gang, cause)


def advance(
    gang: GangAttempt, now_s: float, timing: Timing, *, may_start: bool
) -> None:
    """Advance to the next phase if reports and time allow.

    ``may_start`` is whether the domain has a valid start permit.
    """
    if gang.phase is Phase.ADOPTING:
        _advance_adopting(gang)
    elif gang.phase is Phase.RESERVING:
        _advance_reserving(gang, now_s, may_start=may_start)
    elif gang.phase is Phase.STARTING:
        _advance_starting(gang, now_s)
    elif gang.phase is Phase.CHECKPOINTING:
        _advance_checkpointing(gang, now_s)
    if gang.phase is not Phase.STOPPING:
        _check_responsiveness(gang, now_s, timing)


def _advance_adopting(gang: GangAttempt) -> None:
    if any(
        allocation.last_contact_at_s is None
        for allocation in gang.allocations.values()
    ):
        return
    if gang.all_parts_in(TaskState.RUNNING, TaskState.FINISHED):
        gang.phase = Phase.RUNNING
    else:
        # Every worker is fenced by now, so no earlier start can take effect.
        gang.never_started = gang.all_parts_in(TaskState.RESERVED)
        stop(
            gang,
            StopCause.LOST,
            'not all parts ran when a new control took over',
        )


def needs_start_record(gang: GangAttempt) -> bool:
    """Return whether the start must be recorded before it is sent.

    A new control must know whether a job that is not idempotent may run.
    """
    return (
        gang.phase is Phase.RESERVING
        and not gang.record.spec.idempotent
        and not gang.attempt.start_recorded
        and gang.all_parts_in(TaskState.RESERVED)
    )


def _advance_reserving(
    gang: GangAttempt, now_s: float, *, may_start: bool
) -> None:
    if now_s >= gang.start_by_s:
        stop(gang, StopCause.LATE)
        return
    if not gang.all_parts_in(TaskState.RESERVED) or needs_start_record(gang):
        return
    if may_start:
        gang.phase = Phase.STARTING
    else:
        stop(gang, StopCause.NO_PERMIT)


def _advance_starting(gang: GangAttempt, now_s: float) -> None:
    if gang.all_parts_in(TaskState.RUNNING, TaskState.FINISHED):
        gang.phase = Phase.RUNNING
    elif now_s >= gang.start_by_s:
        stop(gang, StopCause.LATE)


def _advance_checkpointing(gang: GangAttempt, now_s: float) -> None:
    is_complete = all(
        report.state is TaskState.FINISHED
        or report.checkpoint_run_ms
        >= max(1, allocation.run_ms_at_request[part])
        for allocation in gang.allocations.values()
        for part, report in allocation.reports.items()
    )
    if is_complete or now_s >= gang.checkpoint_by_s:
        stop(gang, gang.cause_after_checkpoint)


def _check_responsiveness(
    gang: GangAttempt, now_s: float, timing: Timing
) -> None:
    for worker, allocation in gang.allocations.items():
        last_contact_at_s = gang.began_at_s
        if allocation.last_contact_at_s is not None:
            last_contact_at_s = allocation.last_contact_at_s
        is_finished = allocation.all_in(TaskState.FINISHED)
        if (
            allocation.is_unresponsive
            and not is_finished
            and now_s - last_contact_at_s > timing.lease_s
        ):
            stop(gang, StopCause.UNRESPONSIVE, str(worker))


def has_ended(gang: GangAttempt, now_s: float) -> bool:
    """Return whether certainly no part runs any more."""
    return gang.is_finished or (
        gang.phase is Phase.STOPPING
        and all(
            allocation.is_released
            or (
                allocation.is_unresponsive
                and now_s > allocation.may_run_until_s
            )
            for allocation in gang.allocations.values()
        )
    )
