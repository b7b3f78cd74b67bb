"""Shapes of units: what finds room for one finds it for all equal ones."""

from .advice import needs_advice, step_ref_of
from .job_state import Unit

Shape = tuple[object, ...]


def shape_of(unit: Unit) -> Shape:
    """Return what decides where ``unit`` fits."""
    spec = unit.spec
    # The limit a worker depends on where the job's other tasks are, and
    # advice is given to each step.
    is_special = spec.max_per_worker or needs_advice(unit)
    own = step_ref_of(unit) if is_special else ''
    is_tight = spec.same_rack and unit.size > 1
    where = (spec.required_label, spec.near_rack, is_tight, spec.fills_idle)
    return (unit.job.spec.terms.pool, unit.size, spec.size, where, own)
