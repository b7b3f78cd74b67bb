"""What each worker is told about an attempt in its next round."""

import msgspec

from .gang import GangAttempt, HeldParts, Phase, StopCause, Timing, stop
from .ids import WorkerId
from .states import TaskState
from .worker_api import TaskReservation


class Instructions(msgspec.Struct, frozen=True):
    """What one worker is told about one attempt in its next round."""

    reserve: tuple[TaskReservation, ...] = ()
    start: bool = False
    renew: bool = False
    checkpoint: bool = False
    stop: bool = False


def instruct(
    gang: GangAttempt,
    worker: WorkerId,
    now_s: float,
    timing: Timing,
    *,
    may_start: bool,
) -> Instructions:
    """Return what to tell ``worker`` now, and note that it is told.

    ``may_start`` is the start permit as of this moment; without it a start
    is turned into a stop of the whole attempt.
    """
    held = gang.held[worker]
    if gang.phase is Phase.STARTING and not may_start:
        stop(gang, StopCause.NO_PERMIT)
    if gang.phase is Phase.STOPPING:
        return Instructions(stop=not held.gone)
    if gang.phase is Phase.RESERVING:
        return _reserve(gang, held)
    if gang.phase is Phase.STARTING:
        gang.never_started = False
        return _start(held, now_s, timing)
    renew = is_renewable(gang, now_s, timing)
    if renew:
        held.may_run_until_s = now_s + timing.longest_lease_s
    return Instructions(renew=renew, checkpoint=gang.phase is Phase.SAVING)


def _reserve(gang: GangAttempt, held: HeldParts) -> Instructions:
    if held.reserve_sent:
        return Instructions()
    held.reserve_sent = True
    return Instructions(
        reserve=tuple(_reservation(gang, part) for part in held.parts),
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


def _start(held: HeldParts, now_s: float, timing: Timing) -> Instructions:
    if not held.all_in(TaskState.RUNNING, TaskState.FINISHED):
        held.may_run_until_s = now_s + timing.longest_lease_s
        return Instructions(start=True)
    return Instructions()


def is_renewable(gang: GangAttempt, now_s: float, timing: Timing) -> bool:
    """Return whether every part was reported alive and recently."""
    alive = gang.all_parts_in(TaskState.RUNNING, TaskState.FINISHED)
    oldest_s = now_s - timing.renewal_silence_s
    return alive and all(
        held.seen_s is not None and held.seen_s >= oldest_s
        for held in gang.held.values()
    )
