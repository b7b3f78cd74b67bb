"""Builds requests to the workers of a domain and handles the responses."""

from collections import defaultdict

from .attempts import (
    advance,
    checkpoint_and_stop,
    handle_failed_poll,
    handle_response,
)
from .gang import GangAttempt, Phase, StopCause, Timing, stop
from .ids import AttemptId, Epoch, VmId, WorkerId
from .instructions import issue_instructions
from .sync_requests import RequestBuilder
from .worker_api import SyncRequest, SyncResponse, WorkerDescription
from .worker_liveness import WorkerLiveness


class GangTable:
    """State of all workers of a domain and of the attempts placed on them."""

    def __init__(self, epoch: Epoch, control: VmId, timing: Timing) -> None:
        """Start without workers; ``timing`` applies to every attempt."""
        self.epoch = epoch
        self.timing = timing
        self.workers: dict[WorkerId, WorkerLiveness] = {}
        self.gangs: dict[AttemptId, GangAttempt] = {}
        # Workers that need a request before their next regular round.
        self.urgent_workers: set[WorkerId] = set()
        # Higher epoch that a worker has reported; None while not fenced.
        self.fenced_by: Epoch | None = None
        # Whether a phase or a part's state changed since the last reset.
        self.has_changes = False
        self._control = control
        self._attempts_on: dict[WorkerId, set[AttemptId]] = defaultdict(set)

    def update_worker(self, description: WorkerDescription) -> None:
        """Add a worker, or replace its description."""
        known = self.workers.get(description.worker)
        if known is None:
            self.workers[description.worker] = WorkerLiveness(description)
        else:
            known.description = description

    def remove_worker(self, worker: WorkerId, now_s: float) -> None:
        """Remove a worker that is no longer in the VM list."""
        self.handle_failed_poll(worker, now_s)
        self.workers.pop(worker, None)

    def build_request(
        self, worker: WorkerId, now_s: float, *, may_start: bool
    ) -> SyncRequest:
        """Return the request of this round.

        The leases count from ``now_s``, so send the request at once.
        """
        self.urgent_workers.discard(worker)
        builder = RequestBuilder()
        for gang in self._gangs_on(worker):
            self.advance(gang, now_s, may_start=may_start)
            previous_phase = gang.phase
            instructions = issue_instructions(
                gang, worker, now_s, self.timing, may_start=may_start
            )
            self._record_phase_change(gang, previous_phase)
            builder.add(gang.attempt_id, instructions)
        liveness = self.workers.get(worker)
        if liveness is not None:
            builder.add_clean_up(liveness)
        return builder.build(self.epoch, self._control, self.timing)

    def handle_response(
        self,
        worker: WorkerId,
        request: SyncRequest,
        sent_at_s: float,
        response: SyncResponse,
    ) -> None:
        """Handle the response to ``request``, sent at ``sent_at_s``."""
        if not response.accepted:
            self.fenced_by = response.epoch
            return
        liveness = self.workers.get(worker)
        if liveness is None:
            return
        liveness.record_response(
            request, sent_at_s, response, self._attempts_on[worker]
        )
        for gang in self._gangs_on(worker):
            refusal = response.refused.get(gang.attempt_id, '')
            self._apply_reports(gang, liveness, refusal)

    def handle_failed_poll(self, worker: WorkerId, now_s: float) -> None:
        """Handle a request to ``worker`` that got no response."""
        liveness = self.workers.get(worker)
        if liveness is not None:
            liveness.is_unresponsive = True
        for gang in self._gangs_on(worker):
            previous_phase = gang.phase
            handle_failed_poll(gang, worker, now_s, self.timing)
            self._record_phase_change(gang, previous_phase)

    def add(self, gang: GangAttempt) -> None:
        """Add ``gang`` and apply the last reports of its workers."""
        self.gangs[gang.attempt_id] = gang
        self.urgent_workers.update(gang.allocations)
        for worker in gang.allocations:
            self._attempts_on[worker].add(gang.attempt_id)
            liveness = self.workers.get(worker)
            if liveness is not None:
                liveness.possible_orphans.pop(gang.attempt_id, None)
                self._apply_reports(gang, liveness, '')

    def remove(self, gang: GangAttempt) -> None:
        """Remove ``gang`` and have its workers forget it."""
        self.gangs.pop(gang.attempt_id)
        for worker in gang.allocations:
            self._attempts_on[worker].discard(gang.attempt_id)
            liveness = self.workers.get(worker)
            if liveness is not None:
                liveness.to_forget.add(gang.attempt_id)

    def advance(
        self, gang: GangAttempt, now_s: float, *, may_start: bool
    ) -> None:
        """Advance the phase of ``gang`` as far as reports and time allow.

        Workers that are no longer listed count as unresponsive.
        """
        previous_phase = gang.phase
        for worker, allocation in gang.allocations.items():
            if worker not in self.workers:
                allocation.is_unresponsive = True
        advance(gang, now_s, self.timing, may_start=may_start)
        self._record_phase_change(gang, previous_phase)

    def stop(self, gang: GangAttempt, cause: StopCause) -> None:
        """Stop every part of ``gang`` without a checkpoint."""
        previous_phase = gang.phase
        stop(gang, cause)
        self._record_phase_change(gang, previous_phase)

    def checkpoint_and_stop(
        self, gang: GangAttempt, cause: StopCause, now_s: float
    ) -> None:
        """Stop every part of ``gang``, after a checkpoint if it runs."""
        previous_phase = gang.phase
        checkpoint_and_stop(gang, cause, now_s)
        self._record_phase_change(gang, previous_phase)

    def confirm_orphans(self, scan_began_at_s: float) -> None:
        """Mark reported attempts that no record named as orphans.

        ``scan_began_at_s`` is the start of the last scan of the records.
        """
        for liveness in self.workers.values():
            liveness.confirm_orphans(scan_began_at_s)

    def _gangs_on(self, worker: WorkerId) -> tuple[GangAttempt, ...]:
        return tuple(
            self.gangs[attempt] for attempt in self._attempts_on[worker]
        )

    def _apply_reports(
        self, gang: GangAttempt, liveness: WorkerLiveness, refusal: str
    ) -> None:
        if liveness.last_contact_at_s is None:
            return
        previous_phase = gang.phase
        worker = liveness.description.worker
        previous_states = gang.allocations[worker].states
        reports = liveness.reports.get(gang.attempt_id, {})
        handle_response(
            gang, worker, liveness.last_contact_at_s, reports, refusal
        )
        self._record_phase_change(gang, previous_phase)
        if previous_states != gang.allocations[worker].states:
            self.has_changes = True

    def _record_phase_change(
        self, gang: GangAttempt, previous_phase: Phase
    ) -> None:
        if gang.phase is not previous_phase:
            self.urgent_workers.update(gang.allocations)
            self.has_changes = True
