"""Tickets of the placement adviser, and requests for them.

Some queues allow only some workers to run a step. Only the adviser knows
which; it takes a while for each worker that a request names, and its tickets
expire.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..clock import MS_PER_S
from ..ids import JobId, WorkerId
from .job_state import Unit
from .policy import Adviser
from .workers import Worker

# Most workers in one request; users expect one request of 30 for a step.
MAX_WORKERS_PER_REQUEST = 30
# A ticket that expires sooner could expire before its start arrives.
MIN_REMAINING_VALIDITY_S = 0.3


class StepRef(NamedTuple):
    """One step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class Ticket(msgspec.Struct, frozen=True):
    """Permission to run a step on one incarnation of a worker."""

    text: str
    # Start time of the worker process; identifies its incarnation.
    started_unix_ms: int
    expires_at_s: float


class AdviceRequest(msgspec.Struct, frozen=True):
    """Request for tickets to run a step on ``workers``."""

    step: StepRef
    workers: tuple[WorkerId, ...]
    # How long the adviser is expected to take.
    expected_duration_s: float


class Advice(msgspec.Struct, frozen=True):
    """Response to a request: a ticket for each worker that may run the step."""

    tickets: dict[WorkerId, str]
    validity_s: float


class _StepAdvice(msgspec.Struct):
    """Advice received for one step."""

    tickets: dict[WorkerId, Ticket] = msgspec.field(default_factory=dict)
    # Workers that may not run the step; that never changes.
    disallowed: set[WorkerId] = msgspec.field(default_factory=set)


class TicketCache:
    """Cached tickets by step and worker."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._steps: dict[StepRef, _StepAdvice] = {}

    def find(self, step: StepRef, worker: Worker, now_s: float) -> str:
        """Return the ticket for a start now; empty if there is none."""
        step_advice = self._steps.get(step)
        ticket = step_advice.tickets.get(worker.id) if step_advice else None
        if (
            ticket is None
            or now_s + MIN_REMAINING_VALIDITY_S > ticket.expires_at_s
        ):
            return ''
        is_same_incarnation = (
            ticket.started_unix_ms == worker.entry.started_unix_ms
        )
        return ticket.text if is_same_incarnation else ''

    def next_request(
        self,
        unit: Unit,
        adviser: Adviser,
        workers: Iterable[Worker],
        now_s: float,
    ) -> AdviceRequest | None:
        """Return a request for ``unit``; None if there is no worker to name.

        Workers known to be allowed come first, then those with the most free
        capacity. Workers that have a valid ticket or may not run the step are
        left out.
        """
        step = step_ref_of(unit)
        step_advice = self._steps.get(step, _StepAdvice())
        without_ticket = [
            worker
            for worker in workers
            if worker.id not in step_advice.disallowed
            and not self.find(step, worker, now_s)
        ]
        if not without_ticket:
            return None
        without_ticket.sort(
            key=lambda worker: (
                worker.id not in step_advice.tickets,
                -worker.free_capacity().weight_cores,
                worker.id,
            )
        )
        selected = tuple(
            worker.id for worker in without_ticket[:MAX_WORKERS_PER_REQUEST]
        )
        expected_ms = (
            adviser.decision_ms + len(selected) * adviser.per_worker_ms
        )
        return AdviceRequest(step, selected, expected_ms / MS_PER_S)

    def record_advice(
        self,
        request: AdviceRequest,
        advice: Advice,
        workers: dict[WorkerId, Worker],
        requested_at_s: float,
    ) -> None:
        """Store the response to a request sent at ``requested_at_s``."""
        step_advice = self._steps.setdefault(request.step, _StepAdvice())
        for worker_id in request.workers:
            worker = workers.get(worker_id)
            text = advice.tickets.get(worker_id)
            if text is None:
                step_advice.disallowed.add(worker_id)
            elif worker is not None:
                step_advice.tickets[worker_id] = Ticket(
                    text,
                    worker.entry.started_unix_ms,
                    requested_at_s + advice.validity_s,
                )

    def drop(self, step: StepRef, worker: WorkerId) -> None:
        """Remove a ticket that its worker rejected."""
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.tickets.pop(worker, None)

    def forget(self, job: JobId) -> None:
        """Remove the advice for all steps of ``job``."""
        for step in tuple(self._steps):
            if step.job == job:
                self._steps.pop(step)


def step_ref_of(unit: Unit) -> StepRef:
    """Return the reference of the step that ``unit`` belongs to."""
    return StepRef(unit.job.id, unit.occurrence, unit.step)


def needs_advice(unit: Unit) -> bool:
    """Return whether a start of ``unit`` needs a ticket."""
    return unit.job.spec.terms.needs_advice
