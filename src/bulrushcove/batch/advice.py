"""Tickets of the placement adviser, and what it is asked.

Answers queues whose policy allows only some workers to run a step: the
adviser alone knows which, takes a while for each worker that it is asked
about, and its tickets lapse.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..clock import MS_PER_S
from ..ids import JobId, WorkerId
from .job_state import Unit
from .policy import Adviser
from .workers import Worker

# Workers in one question; users count on one question of 30 a step.
MAX_ASKED = 30
# A ticket that lapses sooner is not used: its start is still on the way.
MIN_LEFT_S = 0.3


class StepRef(NamedTuple):
    """One step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


class Ticket(msgspec.Struct, frozen=True):
    """Leave to run a step on one life of a worker."""

    text: str
    started_unix_ms: int
    until_s: float


class AdviceRequest(msgspec.Struct, frozen=True):
    """Asks which of ``workers`` may run a step."""

    step: StepRef
    workers: tuple[WorkerId, ...]
    # What the adviser takes for it.
    expected_duration_s: float


class Advice(msgspec.Struct, frozen=True):
    """Answer to a question: a ticket for each worker that may run the step."""

    tickets: dict[WorkerId, str]
    validity_s: float


class _Known(msgspec.Struct):
    """What is known of one step."""

    tickets: dict[WorkerId, Ticket] = msgspec.field(default_factory=dict)
    # Workers that were asked about and may not run it; that never changes.
    barred: set[WorkerId] = msgspec.field(default_factory=set)


class TicketCache:
    """Tickets by step and worker."""

    def __init__(self) -> None:
        """Hold no ticket."""
        self._steps: dict[StepRef, _Known] = {}

    def find(self, step: StepRef, worker: Worker, now_s: float) -> str:
        """Return the ticket for a start now; empty: there is none."""
        known = self._steps.get(step)
        ticket = known.tickets.get(worker.id) if known else None
        if ticket is None or now_s + MIN_LEFT_S > ticket.until_s:
            return ''
        is_same_life = ticket.started_unix_ms == worker.entry.started_unix_ms
        return ticket.text if is_same_life else ''

    def next_request(
        self,
        unit: Unit,
        adviser: Adviser,
        workers: Iterable[Worker],
        now_s: float,
    ) -> AdviceRequest | None:
        """Return what to ask so that ``unit`` finds room; None: nothing.

        Workers that are known to be allowed come first, those with a valid
        ticket are left out.
        """
        step = step_ref_of(unit)
        known = self._steps.get(step, _Known())
        wanted = [
            worker
            for worker in workers
            if worker.id not in known.barred
            and not self.find(step, worker, now_s)
        ]
        if not wanted:
            return None
        wanted.sort(
            key=lambda worker: (
                worker.id not in known.tickets,
                -worker.free_capacity().weight_cores,
                worker.id,
            )
        )
        asked = tuple(worker.id for worker in wanted[:MAX_ASKED])
        expected_ms = adviser.decision_ms + len(asked) * adviser.per_worker_ms
        return AdviceRequest(step, asked, expected_ms / MS_PER_S)

    def record_advice(
        self,
        question: AdviceRequest,
        advice: Advice,
        workers: dict[WorkerId, Worker],
        asked_s: float,
    ) -> None:
        """Keep the answer to a question of ``asked_s``."""
        known = self._steps.setdefault(question.step, _Known())
        for worker_id in question.workers:
            worker = workers.get(worker_id)
            text = advice.tickets.get(worker_id)
            if text is None:
                known.barred.add(worker_id)
            elif worker is not None:
                known.tickets[worker_id] = Ticket(
                    text,
                    worker.entry.started_unix_ms,
                    asked_s + advice.validity_s,
                )

    def drop(self, step: StepRef, worker: WorkerId) -> None:
        """A worker did not take its ticket."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(worker, None)

    def forget(self, job: JobId) -> None:
        """Drop all that is known of a job that has ended."""
        for step in tuple(self._steps):
            if step.job == job:
                self._steps.pop(step)


def step_ref_of(unit: Unit) -> StepRef:
    """Return the step of ``unit``."""
    return StepRef(unit.job.id, unit.occurrence, unit.step)


def needs_advice(unit: Unit) -> bool:
    """Return whether starts of ``unit`` need a ticket."""
    return unit.job.spec.terms.needs_advice
