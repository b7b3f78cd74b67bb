"""Whose turn it is to use the placement adviser.

The adviser serves the calls of one VM in sequence, so that one is sent at a
time. A call that takes longer than the adviser announces may hang: others are
sent beside it.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

import msgspec

from ..ids import JobId, OrganisationId
from .advice import AdviceRequest, StepRef, TicketCache, doubled_s

# A call that takes this much longer than announced may hang.
OVERDUE_S = 0.3
# Most calls at a time, with those that may hang.
MAX_OPEN_CALLS = 4
# Delays before the next call for a step, and for any step, after failed calls;
# doubled with each further one.
MIN_STEP_RETRY_S = 0.3
MAX_STEP_RETRY_S = 4.0
MIN_OUTAGE_RETRY_S = 0.05
MAX_OUTAGE_RETRY_S = 0.5
# The adviser is taken for down for this long after a failed call, unless one is
# answered.
DOWN_S = 5.0
# Most calls for urgent steps in succession while others wait.
MAX_URGENT_CALLS = 3


class WaitingStep(msgspec.Struct, frozen=True):
    """A step that may need tickets."""

    step: StepRef
    organisation: OrganisationId
    is_urgent: bool
    # Its place in the order of the pass.
    position: int
    # How often in succession its tickets went unused.
    unused_rounds: int


class AdviceTurns:
    """The calls under way, and the turns of steps and organisations."""

    def __init__(self) -> None:
        """Start without calls."""
        # When each open call is overdue.
        self._overdue_at_s: dict[StepRef, float] = {}
        # Number of the next call, from 1.
        self._turn = 1
        self._urgent_calls = 0
        self._organisation_turns: dict[OrganisationId, int] = {}
        # The turn of the last call for a step, or in which it was first seen.
        self._step_turns: dict[StepRef, int] = {}
        self._retry_at_s: dict[StepRef, float] = {}
        # When steps were found without a place while others had not been
        # examined, as a number that grows.
        self._passed_over: dict[StepRef, int] = {}
        self._pass_over_count = 0
        # Failed calls in succession, of each step and of all.
        self._step_failures: Counter[StepRef] = Counter()
        self._failures = 0
        self._failed_at_s = 0.0
        self._outage_until_s = 0.0

    def is_free(self, now_s: float) -> bool:
        """Return whether a call may be sent at ``now_s``."""
        return (
            now_s >= self._outage_until_s
            and len(self._overdue_at_s) < MAX_OPEN_CALLS
            and all(
                overdue_at_s <= now_s
                for overdue_at_s in self._overdue_at_s.values()
            )
        )

    def is_down(self, now_s: float) -> bool:
        """Return whether the adviser may not answer calls at ``now_s``."""
        return self._failures > 0 and now_s < self._failed_at_s + DOWN_S

    def in_order(
        self, waiting: Iterable[WaitingStep], now_s: float
    ) -> tuple[list[WaitingStep], list[WaitingStep]]:
        """Return the steps that may have a call, in the order of their turns.

        One list of urgent steps and one of the others; the first one first.
        Every second call is for the step that has waited longest for one.
        """
        urgent = []
        others = []
        for one in waiting:
            self._step_turns.setdefault(one.step, self._turn)
            if self._may_have_call(one.step, now_s):
                (urgent if one.is_urgent else others).append(one)
        sort_key = self._fair_key if self._turn % 2 else self._age_key
        urgent.sort(key=sort_key)
        others.sort(key=sort_key)
        if self._urgent_calls >= MAX_URGENT_CALLS:
            return others, urgent
        return urgent, others

    def pass_over(self, steps: Iterable[StepRef]) -> None:
        """Let all others go before ``steps``, whose units could not start."""
        self._pass_over_count += 1
        self._passed_over.update(
            dict.fromkeys(steps, self._pass_over_count),
        )

    def stop_passing_over(self, steps: Iterable[StepRef]) -> None:
        """Let ``steps`` have their turn again: all have been examined."""
        for step in steps:
            self._passed_over.pop(step, None)

    def record_call(self, request: AdviceRequest, now_s: float) -> None:
        """Record that ``request`` is sent at ``now_s``."""
        self._overdue_at_s[request.step] = (
            now_s + request.expected_duration_s + OVERDUE_S
        )
        self._urgent_calls = self._urgent_calls + 1 if request.is_urgent else 0
        self._organisation_turns[request.organisation] = self._turn
        self._step_turns[request.step] = self._turn
        self._turn += 1

    def record_end(
        self, step: StepRef, now_s: float, *, is_answered: bool
    ) -> None:
        """Record that the call for ``step`` has ended or failed."""
        self._overdue_at_s.pop(step, None)
        if is_answered:
            self._failures = 0
            self._step_failures.pop(step, None)
            return
        self._retry_at_s[step] = now_s + doubled_s(
            MIN_STEP_RETRY_S, self._step_failures[step], MAX_STEP_RETRY_S
        )
        if self._failures:
            # Calls of others failed too: the adviser may be down.
            self._outage_until_s = now_s + doubled_s(
                MIN_OUTAGE_RETRY_S, self._failures - 1, MAX_OUTAGE_RETRY_S
            )
        self._step_failures[step] += 1
        self._failures += 1
        self._failed_at_s = now_s

    def knows(self, step: StepRef) -> bool:
        """Return whether anything is known of ``step``."""
        return any(step in table for table in self._step_tables)

    def forget(self, job: JobId) -> None:
        """Remove what is known of all steps of ``job``."""
        for table in self._step_tables:
            of_job = [step for step in table if step.job == job]
            for step in of_job:
                table.pop(step)

    @property
    def _step_tables(self) -> tuple[dict[StepRef, Any], ...]:
        return (
            self._step_turns,
            self._retry_at_s,
            self._passed_over,
            self._step_failures,
        )

    def _may_have_call(self, step: StepRef, now_s: float) -> bool:
        is_open = step in self._overdue_at_s
        return not is_open and now_s >= self._retry_at_s.get(step, 0)

    def _fair_key(self, one: WaitingStep) -> tuple[int, ...]:
        organisation_turn = self._organisation_turns.get(one.organisation, 0)
        return (
            self._passed_over.get(one.step, 0),
            organisation_turn,
            one.unused_rounds,
            one.position,
        )

    def _age_key(self, one: WaitingStep) -> tuple[int, ...]:
        return (
            self._passed_over.get(one.step, 0),
            self._step_turns[one.step],
            one.position,
        )


class PlacementAdvice:
    """What the scheduler knows of the placement adviser."""

    def __init__(self) -> None:
        """Start without tickets and calls."""
        self.tickets = TicketCache()
        self.turns = AdviceTurns()

    def knows(self, step: StepRef) -> bool:
        """Return whether anything is known of ``step``."""
        return self.tickets.knows(step) or self.turns.knows(step)

    def forget(self, job: JobId) -> None:
        """Remove what is known of all steps of ``job``."""
        self.tickets.forget(job)
        self.turns.forget(job)
