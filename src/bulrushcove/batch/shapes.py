"""Shapes of units: units of one shape fit on the same workers."""

from .advice import needs_advice, step_ref_of
from .job_state import Unit

Shape = tuple[object, ...]


def shape_of(unit: Unit) -> Shape:
    """Return a key of everything that decides where ``unit`` fits."""
    spec = unit.spec
    # A limit per worker depends on where the step's other tasks run, and
    # advice is given for each step.
    depends_on_step = spec.max_per_worker or needs_advice(unit)
    step = step_ref_of(unit) if depends_on_step else ''
    needs_one_rack = spec.same_rack and unit.size > 1
    constraints = (
        spec.required_label,
        spec.near_rack,
        needs_one_rack,
        spec.fills_idle,
        # Suspects may need workers of their own.
        unit.ref if unit.crashes else '',
    )
    return (unit.job.spec.terms.pool, unit.size, spec.size, constraints, step)
