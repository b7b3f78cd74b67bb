"""The units that are ready in a pass, in the order of their turns.

First the queue order, then the shares of organisations where the configuration
gives any, then what other work is being stopped for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .fair_shares import find_weights, order_fairly
from .job_state import Unit, ready_units
from .limit_gate import find_limits
from .organisation_usage import Usage
from .queue_order import make_classifier, sort_waiting_units

if TYPE_CHECKING:
    from .engine import Engine


def sum_usage(engine: Engine, now_s: float) -> Usage:
    """Return what organisations have running; empty if it is not needed."""
    policy = engine.desired_state.policy
    if not find_limits(policy) and not find_weights(policy):
        return {}
    return engine.organisation_usage.update(engine.workers, engine.jobs, now_s)


def sort_ready_units(
    engine: Engine, used: Usage, unix_ms: int, now_s: float
) -> list[Unit]:
    """Return the units that are ready, in the order of their turns."""
    waiting = sort_waiting_units(
        (
            unit
            for job in engine.active.values()
            for unit in ready_units(job, unix_ms, now_s)
        ),
        engine.estimates,
        now_s,
    )
    weights = find_weights(engine.desired_state.policy)
    if weights:
        class_of = make_classifier(engine.estimates, now_s)
        waiting = order_fairly(waiting, weights, used, class_of)
    if engine.preemptions:
        # What is stopped for a unit must not take the capacity back.
        waiting.sort(key=lambda unit: unit.ref not in engine.preemptions)
    return waiting
