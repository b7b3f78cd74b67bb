"""Tickets of the placement adviser.

Some queues allow only some workers to run a step. Only the adviser knows
which; it takes a while for each worker that a request names, and its tickets
expire.
"""

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

import msgspec

from ..ids import JobId, OrganisationId, WorkerId
from .job_state import Unit
from .workers import Worker

# A ticket that expires sooner could expire before its start arrives.
MIN_REMAINING_VALIDITY_S = 0.3
# Pause after tickets of a step expired unused, doubled each time up to the
# longest one: a step that can start then still does within 3 s.
MIN_UNUSED_PAUSE_S = 0.5
MAX_UNUSED_PAUSE_S = 2.0
# A delay is at its longest after as many doublings, and grows no further.
MAX_DOUBLINGS = 10


class Advised(Enum):
    """What the adviser must have said of the workers that a step may use."""

    # It has a valid ticket.
    WITH_TICKET = auto()
    # It has had a ticket.
    ALLOWED = auto()
    # No request was denied.
    POSSIBLE = auto()


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
    organisation: OrganisationId
    is_urgent: bool
    workers: tuple[WorkerId, ...]
    # How long the adviser is expected to take.
    expected_duration_s: float


class Advice(msgspec.Struct, frozen=True):
    """Response to a request: a ticket for each worker that may run the step."""

    tickets: dict[WorkerId, str]
    validity_s: float


class _StepAdvice(msgspec.Struct):
    """Advice received for one step.

    Tickets whose requests were sent before the earlier ones expired are a
    round: the step could use them together.
    """

    tickets: dict[WorkerId, Ticket] = msgspec.field(default_factory=dict)
    # Workers that may not run the step; that never changes.
    disallowed: set[WorkerId] = msgspec.field(default_factory=set)
    # When the last ticket of the round expires; zero: there is none yet.
    round_expires_at_s: float = 0.0
    # Whether a unit was started with tickets of the round.
    is_round_used: bool = False
    # Rounds in succession that were not used, or whose tickets workers
    # rejected.
    unused_rounds: int = 0
    # Until when no request is sent, as workers rejected the tickets.
    retry_at_s: float = 0.0

    def record_round(self, requested_at_s: float, expires_at_s: float) -> None:
        """Record that tickets were given which expire at ``expires_at_s``."""
        if requested_at_s > self.round_expires_at_s:
            if self.is_round_used:
                self.unused_rounds = 0
            elif self.round_expires_at_s:
                self.unused_rounds += 1
            self.is_round_used = False
        self.round_expires_at_s = max(self.round_expires_at_s, expires_at_s)

    def record_rejection(self, now_s: float) -> None:
        """Record that a worker rejected a ticket: this ends the round."""
        if self.is_round_used:
            self.is_round_used = False
            self.round_expires_at_s = 0.0
            # The first one may be late by chance, and is repeated at once.
            if self.unused_rounds:
                self.retry_at_s = now_s + _pause_s(self.unused_rounds - 1)
            self.unused_rounds += 1

    def may_request(self, now_s: float) -> bool:
        """Return whether a request is not too early after unused tickets."""
        if now_s < self.retry_at_s:
            return False
        if not self.round_expires_at_s or self.is_round_used:
            return True
        is_round_open = (
            now_s + MIN_REMAINING_VALIDITY_S <= self.round_expires_at_s
        )
        pause_s = _pause_s(self.unused_rounds)
        return is_round_open or now_s >= self.round_expires_at_s + pause_s


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

    def has_tickets(self, step: StepRef) -> bool:
        """Return whether ``step`` has had tickets."""
        return step in self._steps and bool(self._steps[step].tickets)

    def make_test(
        self, step: StepRef, advised: Advised, now_s: float
    ) -> Callable[[Worker], bool]:
        """Return a test whether ``step`` may use a worker, by ``advised``."""
        if advised is Advised.WITH_TICKET:
            return lambda worker: bool(self.find(step, worker, now_s))
        step_advice = self._steps.get(step, _StepAdvice())
        if advised is Advised.ALLOWED:
            return lambda worker: worker.id in step_advice.tickets
        return lambda worker: worker.id not in step_advice.disallowed

    def has_disallowed(self, step: StepRef) -> bool:
        """Return whether some worker may not run ``step``."""
        return step in self._steps and bool(self._steps[step].disallowed)

    def allowed_share(self, step: StepRef) -> float:
        """Return the expected share of workers that may run ``step``."""
        step_advice = self._steps.get(step, _StepAdvice())
        allowed = len(step_advice.tickets)
        asked = allowed + len(step_advice.disallowed)
        # Before any advice half of them is expected to be allowed.
        return (allowed + 1) / (asked + 2)

    def may_request(self, step: StepRef, now_s: float) -> bool:
        """Return whether a request is not too early after unused tickets."""
        step_advice = self._steps.get(step)
        return step_advice is None or step_advice.may_request(now_s)

    def unused_rounds(self, step: StepRef) -> int:
        """Return how often in succession tickets of ``step`` went unused."""
        step_advice = self._steps.get(step)
        return step_advice.unused_rounds if step_advice else 0

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
                expires_at_s = requested_at_s + advice.validity_s
                step_advice.tickets[worker_id] = Ticket(
                    text, worker.entry.started_unix_ms, expires_at_s
                )
                step_advice.record_round(requested_at_s, expires_at_s)

    def record_start(self, step: StepRef) -> None:
        """Record that a unit of ``step`` is started with its tickets."""
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.is_round_used = True

    def drop(self, step: StepRef, worker: WorkerId, now_s: float) -> None:
        """Remove a ticket that its worker rejected."""
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.tickets.pop(worker, None)
            step_advice.record_rejection(now_s)

    def knows(self, step: StepRef) -> bool:
        """Return whether there is any advice for ``step``."""
        return step in self._steps

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


def doubled_s(first_s: float, doublings: int, longest_s: float) -> float:
    """Return ``first_s`` doubled as often, at most ``longest_s``."""
    return min(first_s * 2 ** min(doublings, MAX_DOUBLINGS), longest_s)


def _pause_s(unused_rounds: int) -> float:
    """Return the pause after tickets that went unused once more."""
    return doubled_s(MIN_UNUSED_PAUSE_S, unused_rounds, MAX_UNUSED_PAUSE_S)
