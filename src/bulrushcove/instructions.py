"""Derives the instructions of a round from the state of an attempt."""

import msgspec

from .gang import Allocation, GangAttempt, Phase, StopCause, Timing, stop
from .ids import WorkerId
from .states import TaskState
from .worker_api import TaskReservation


class Instructions(msgspec.Struct, frozen=True):
    """Instructions to one worker about one attempt in one round."""

    reserve: tuple[TaskReservation, ...] = ()
    start: bool = False
    renew: bool = False
    checkpoint: bool = False
    stop: bool = False


def issue_instructions(
    gang: GangAttempt,
    worker: WorkerId,
    now_s: float,
    timing: Timing,
    *,
    may_start: bool,
) -> Instructions:
    """Return the instructions to ``worker`` and record that they are sent.

    ``may_start`` is whether the domain has a valid start permit now; without
    it the whole attempt is stopped instead of started.
    """
    allocation = gang.allocations[worker]
    if gang.phase is Phase.STARTING and not may_start:
        stop(gang, StopCause.NO_PERMIT)
    if gang.phase is Phase.STOPPING:
        return Instructions(stop=not allocation.is_released)
    if gang.phase is Phase.RESERVING:
        return _reserve(gang, allocation)
    if gang.phase is Phase.STARTING:
        gang.never_started = False
        return _start(allocation, now_s, timing)
    renew = is_renewable(gang, now_s, timing)
    if renew:
        allocation.may_run_until_s = now_s + timing.max_lease_s
    return Instructions(
        renew=renew, checkpoint=gang.phase is Phase.CHECKPOINTING
    )


def _reserve(gang: GangAttempt, allocation: Allocation) -> Instructions:
    if allocation.is_reserve_sent:
        return Instructions()
    allocation.is_reserve_sent = True
    return Instructions(
        reserve=tuple(_reservation(gang, part) for part in allocation.parts),
    )


def _reservation(gang: GangAttempt, part: int) -> TaskReservation:
    record = gang.record
    checkpoint = ''
    if part < len(record.checkpoints):
        checkpoint = record.checkpoints[part]
    return TaskReservation(
        attempt=gang.attempt_id,
        job=record.job,
        part=part,
        organisation=record.organisation,
        accelerators=record.spec.accelerators_per_task,
        cores=record.spec.cores_per_task,
        memory_mb=record.spec.memory_mb_per_task,
        payload=record.spec.payload,
        checkpoint=checkpoint,
        traceparent=record.traceparent,
    )


def _start(
    allocation: Allocation, now_s: float, timing: Timing
) -> Instructions:
    if not allocation.all_in(TaskState.RUNNING, TaskState.FINISHED):
        allocation.may_run_until_s = now_s + timing.max_lease_s
        return Instructions(start=True)
    return Instructions()


def is_renewable(gang: GangAttempt, now_s: float, timing: Timing) -> bool:
    """Return whether all parts were recently reported running or finished."""
    alive = gang.all_parts_in(TaskState.RUNNING, TaskState.FINISHED)
    oldest_s = now_s - timing.max_report_age_s
    return alive and all(
        allocation.last_contact_at_s is not None
        and allocation.last_contact_at_s >= oldest_s
        for allocation in gang.allocations.values()
    )
