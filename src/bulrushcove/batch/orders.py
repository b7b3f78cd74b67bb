"""Orders to workers and what becomes of them."""

from enum import Enum

import msgspec

from ..exceptions import WorkerError
from .ids import RunRef


class WorkerCallError(WorkerError):
    """A worker did not answer, or not usably."""


class WorkerFencedError(WorkerError):
    """The worker has seen a higher epoch."""


class WorkerReplacedError(WorkerError):
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
    STALE_RUN = 'old-run'
    # The worker's clock is past the order's deadline.
    TOO_LATE = 'too-late'
    NO_CAPACITY = 'no-room'
    NO_TICKET = 'no-ticket'
    # The worker is unhealthy and has done nothing.
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other-instance'
    # The worker does not take the order as it stands.
    INVALID = 'invalid'


# Outcomes after which the run surely neither goes on nor will.
OUTCOMES_NEVER_STARTED = frozenset(
    (
        OrderOutcome.NOT_SENT,
        OrderOutcome.FENCED,
        OrderOutcome.STALE_RUN,
        OrderOutcome.TOO_LATE,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.NO_TICKET,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.OTHER_INCARNATION,
        OrderOutcome.INVALID,
    )
)


class OrderReply(msgspec.Struct, frozen=True):
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
