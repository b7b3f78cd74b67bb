"""Orders to workers and what becomes of them."""

from enum import Enum

import msgspec

from ..exceptions import WorkerError
from .ids import RunRef


class WorkerCallError(WorkerError):
    """A worker did not answer, or not usably."""


class WorkerFencedError(WorkerError):
    """The worker has seen a higher epoch."""


class WorkerGoneError(WorkerError):
    """Another instance answers at the worker's address."""


class OrderOutcome(Enum):
    """What became of an order."""

    # Carried out now or before.
    DONE = 'done'
    # There was no connection: the order had no effect.
    NOT_SENT = 'not-sent'
    # It may have been carried out, or may be later.
    UNKNOWN = 'unknown'
    FENCED = 'fenced'
    # A run as high as this one has ended or was stopped there.
    OLD_RUN = 'old-run'
    # The worker's clock is past the order's deadline.
    TOO_LATE = 'too-late'
    NO_ROOM = 'no-room'
    NO_TICKET = 'no-ticket'
    # The worker is unhealthy and has done nothing.
    UNHEALTHY = 'unhealthy'
    OTHER_INSTANCE = 'other-instance'
    # The worker does not take the order as it stands.
    INVALID = 'invalid'


# Outcomes after which the run surely neither goes on nor will.
NEVER_RUNS = frozenset(
    (
        OrderOutcome.NOT_SENT,
        OrderOutcome.FENCED,
        OrderOutcome.OLD_RUN,
        OrderOutcome.TOO_LATE,
        OrderOutcome.NO_ROOM,
        OrderOutcome.NO_TICKET,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.OTHER_INSTANCE,
        OrderOutcome.INVALID,
    )
)


class OrderAnswer(msgspec.Struct, frozen=True):
    """Outcome of an order, and the worker's clock when it told it."""

    outcome: OrderOutcome
    clock_ms: int = 0


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Start of one run."""

    ref: RunRef
    payload: str
    # On the worker's clock; a start that arrives later is refused.
    deadline_ms: int
    checkpoint: str = ''
    ticket: str = ''
