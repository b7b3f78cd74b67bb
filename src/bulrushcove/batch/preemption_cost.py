"""Cost of stopping a unit for urgent work.

Answers bursts in which urgent units need more room than is free: what is
stopped is what loses the least unsaved work, and what frees its room by itself
within the time that a stop takes is waited for. A unit that was stopped before
costs more each time, so that the same one is not chosen again and again.
"""

import msgspec

# Cost of one task start by the users' price list.
START_COST_CORE_S = 3.0
# Longest time to read back a checkpoint, in which the task makes no progress.
CHECKPOINT_RESTORE_S = 0.6
# A stop takes up to 0.9 s until its capacity is free; a run that ends earlier
# than this frees it as soon and loses nothing.
ENDING_SOON_S = 0.5
# Each earlier run that was interrupted adds this share of the loss to the cost,
# up to a number of runs: at most twice as much is lost to spare such a unit.
INTERRUPTION_SHARE = 0.25
MAX_COUNTED_INTERRUPTIONS = 4


class RunningUnit(msgspec.Struct, frozen=True, kw_only=True):
    """What the cost of stopping a running unit depends on."""

    # Tasks, and the cores of all of them, accelerators converted.
    size: int
    weight_cores: float
    # Time for which the run has been at work, also at a slow rate.
    worked_s: float
    # Whether a checkpoint is written at the stop.
    saves_work: bool = False
    # Earlier runs of the unit that did not end by themselves.
    interruptions: int = 0


def loss_core_s(running: RunningUnit) -> float:
    """Return the core-seconds lost when the unit is stopped now.

    Counts the restart of each task, and the work done so far or, with
    checkpoints, the time to read one back.
    """
    lost_s = CHECKPOINT_RESTORE_S if running.saves_work else running.worked_s
    return START_COST_CORE_S * running.size + lost_s * running.weight_cores


def preemption_cost(running: RunningUnit) -> float:
    """Return the loss in core-seconds, more for interrupted units."""
    interruptions = min(running.interruptions, MAX_COUNTED_INTERRUPTIONS)
    factor = 1 + INTERRUPTION_SHARE * interruptions
    return factor * loss_core_s(running)


def ends_soon(remaining_s: float, progress_age_s: float) -> bool:
    """Return whether a run is waited for instead of stopped.

    ``remaining_s`` was estimated ``progress_age_s`` ago, from the last
    progress. A run that is overdue by as much again is not expected to end.
    """
    left_s = remaining_s - progress_age_s
    return -ENDING_SOON_S < left_s <= ENDING_SOON_S
