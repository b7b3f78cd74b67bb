"""Log lines of runs that are silent for longer than expected."""

import logging

from ..batch.ids import RunRef
from ..batch.progress_model import Stall, Suspicion
from ..logs import log_event

logger = logging.getLogger(__name__)


def log_suspicion(suspicion: Suspicion) -> None:
    """Log a run that makes its worker suspected, and what it was expected."""
    allocation = suspicion.allocation
    log_event(
        logger,
        'run.suspected',
        worker=allocation.worker,
        **_fields_of(allocation.ref),
        percent=allocation.percent,
        silent_ms=round(suspicion.silent_ms),
        limit_ms=round(suspicion.expectation.limit_ms),
        basis=suspicion.expectation.basis.value,
        silent_jobs=suspicion.silent_jobs,
    )


def log_stall(stall: Stall) -> None:
    """Log a run that is stopped as it stands still, and what decided it."""
    allocation = stall.allocations[0]
    log_event(
        logger,
        'run.stalled',
        level=logging.WARNING,
        worker=allocation.worker,
        **_fields_of(allocation.ref),
        members=len(stall.allocations),
        percent=allocation.percent,
        silent_ms=round(stall.silent_ms),
        limit_ms=round(stall.limit_ms),
        basis=stall.basis.value,
        unsaved_ms=round(stall.unsaved_ms),
        suspects=len(stall.suspects),
        blamed=len(stall.blamed),
    )


def _fields_of(ref: RunRef) -> dict[str, object]:
    return {
        'job': ref.task.job,
        'occurrence': ref.task.occurrence,
        'step': ref.task.step,
        'index': ref.task.index,
        'run': ref.run,
    }
