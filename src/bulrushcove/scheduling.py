"""Scheduling passes and what one pass hands to the next."""

from collections.abc import Callable

import msgspec

from .clock import MS_PER_S, Clock
from .cluster import DomainSnapshot, Plan, Reservation
from .configuration import Configuration
from .domain_core import DomainCore, RecordChange
from .domain_moves import must_leave
from .domain_snapshot import take_snapshot
from .ids import JobId
from .observed_runs import RunTimes
from .states import JobState

Planner = Callable[[DomainSnapshot], Plan]


class Scheduling:
    """Runs ``planner`` over a domain."""

    def __init__(
        self, core: DomainCore, clock: Clock, planner: Planner
    ) -> None:
        """Plan for ``core``."""
        # Why jobs wait, for operators.
        self.waits: dict[JobId, str] = {}
        self._core = core
        self._clock = clock
        self._planner = planner
        self._reservations: tuple[Reservation, ...] = ()
        self._run_times = RunTimes()

    def plan(self, configuration: Configuration) -> Plan:
        """Return the decisions of one pass."""
        snapshot = take_snapshot(
            self._core,
            configuration.contracts,
            self._clock.monotonic_s(),
            self._clock.unix_ms(),
        )
        plan = self._planner(
            msgspec.structs.replace(
                snapshot,
                queued=tuple(
                    record
                    for record in snapshot.queued
                    if not must_leave(record, self._core.domain, configuration)
                ),
                observed=self._run_times.observed(),
                reservations=self._reservations,
            ),
        )
        self._reservations = plan.reservations
        self.waits = {wait.job: wait.reason for wait in plan.waits}
        return plan

    def learn(self, change: RecordChange) -> None:
        """Take in the run time of a job that has just succeeded."""
        record = change.record
        if record.state is not JobState.SUCCEEDED or record.current is None:
            return
        gang = self._core.table.gangs.get(record.current.attempt)
        if gang is None:
            return
        longest_ms = max(
            report.run_ms
            for held in gang.held.values()
            for report in held.reports.values()
        )
        self._run_times.add(
            record.organisation, record.spec.kind, longest_ms / MS_PER_S
        )
