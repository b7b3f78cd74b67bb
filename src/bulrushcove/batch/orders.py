"""Orders to workers and their outcomes."""

from enum import Enum

import msgspec

from ..exceptions import WorkerError
from .ids import RunRef


class WorkerCallError(WorkerError):
    """A worker did not reply, or its reply was invalid."""


class WorkerFencedError(WorkerError):
    """The worker rejected the call: it has seen a higher epoch."""


class WorkerReplacedError(WorkerError):
    """Another worker replies at the address of this worker."""


class OrderOutcome(Enum):
    """Outcome of an order."""

    # Carried out by this order or an earlier one.
    DONE = 'done'
    # No connection: the order was not sent and had no effect.
    NOT_SENT = 'not-sent'
    # No reply: it may have been carried out, or still may be.
    UNKNOWN = 'unknown'
    # The process at the address did not tell which incarnation it is, so the
    # order was not sent.
    UNREACHED = 'unreached'
    # Another incarnation answers: the one that was to carry out the order is
    # gone, and the order was not sent.
    OTHER_INCARNATION = 'other-incarnation'
    FENCED = 'fenced'
    # A run of the task with this number or a higher one has already ended or
    # was stopped on the worker.
    STALE_RUN = 'old-run'
    # The order reached the worker after its deadline.
    TOO_LATE = 'too-late'
    NO_CAPACITY = 'no-room'
    NO_TICKET = 'no-ticket'
    # The worker is unhealthy and did not carry out the order.
    UNHEALTHY = 'unhealthy'
    # Another worker replies at the address.
    OTHER_WORKER = 'other-instance'
    # The worker rejected the order as malformed, or for a reason that has no
    # outcome of its own.
    INVALID = 'invalid'


# Outcomes after which the run is certain not to run, now or later.
OUTCOMES_NEVER_STARTED = frozenset(
    (
        OrderOutcome.NOT_SENT,
        OrderOutcome.UNREACHED,
        OrderOutcome.OTHER_INCARNATION,
        OrderOutcome.FENCED,
        OrderOutcome.STALE_RUN,
        OrderOutcome.TOO_LATE,
        OrderOutcome.NO_CAPACITY,
        OrderOutcome.NO_TICKET,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.OTHER_WORKER,
        OrderOutcome.INVALID,
    )
)


class OrderReply(msgspec.Struct, frozen=True):
    """Outcome of an order, and the worker's clock at the time of the reply."""

    outcome: OrderOutcome
    clock_ms: int = 0


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order to start one run."""

    ref: RunRef
    payload: str
    # Start time of the incarnation that may carry it out.
    started_unix_ms: int
    # On the worker's clock; it rejects a start that arrives later.
    deadline_ms: int
    checkpoint: str = ''
    ticket: str = ''
