"""Workers and attempts of one domain: what to send, what came back."""

from collections import defaultdict

from .attempts import (
    advance,
    checkpoint_and_stop,
    handle_failed_poll,
    observe,
)
from .gang import GangAttempt, Phase, StopCause, Timing, stop
from .ids import AttemptId, Epoch, VmId, WorkerId
from .instructions import issue_instructions
from .sync_requests import RequestBuilder
from .worker_api import SyncRequest, SyncResponse, WorkerDescription
from .worker_liveness import WorkerLiveness


class GangTable:
    """Every worker and every attempt that a control follows."""

    def __init__(self, epoch: Epoch, control: VmId, timing: Timing) -> None:
        """Start empty; ``timing`` are the leases granted to tasks."""
        self.epoch = epoch
        self.timing = timing
        self.workers: dict[WorkerId, WorkerLiveness] = {}
        self.gangs: dict[AttemptId, GangAttempt] = {}
        # Workers that have to hear something before their next round.
        self.urgent_workers: set[WorkerId] = set()
        # Higher epoch that a worker told; None while not fenced.
        self.fenced_by: Epoch | None = None
        # An attempt moved on since this was last set back.
        self.has_changes = False
        self._control = control
        self._by_worker: dict[WorkerId, set[AttemptId]] = defaultdict(set)

    def update_worker(self, description: WorkerDescription) -> None:
        """Add a worker, or take its new description."""
        known = self.workers.get(description.worker)
        if known is None:
            self.workers[description.worker] = WorkerLiveness(description)
        else:
            known.description = description

    def remove_worker(self, worker: WorkerId, now_s: float) -> None:
        """Give up a worker that is not listed any more."""
        self.handle_failed_poll(worker, now_s)
        self.workers.pop(worker, None)

    def build_request(
        self, worker: WorkerId, now_s: float, *, may_start: bool
    ) -> SyncRequest:
        """Return this round's request; call it right before sending."""
        self.urgent_workers.discard(worker)
        builder = RequestBuilder()
        for gang in self._gangs_on(worker):
            self.advance(gang, now_s, may_start=may_start)
            phase = gang.phase
            told = issue_instructions(
                gang, worker, now_s, self.timing, may_start=may_start
            )
            self._note_phase(gang, phase)
            builder.add(gang.attempt_id, told)
        liveness = self.workers.get(worker)
        if liveness is not None:
            builder.add_clean_up(liveness)
        return builder.build(self.epoch, self._control, self.timing)

    def handle_response(
        self,
        worker: WorkerId,
        request: SyncRequest,
        sent_s: float,
        answer: SyncResponse,
    ) -> None:
        """Take in the answer to ``request``, which was sent at ``sent_s``."""
        if not answer.accepted:
            self.fenced_by = answer.epoch
            return
        liveness = self.workers.get(worker)
        if liveness is None:
            return
        liveness.record_response(
            request, sent_s, answer, self._by_worker[worker]
        )
        for gang in self._gangs_on(worker):
            refusal = answer.refused.get(gang.attempt_id, '')
            self._observe(gang, liveness, refusal)

    def handle_failed_poll(self, worker: WorkerId, now_s: float) -> None:
        """Take in that a request to ``worker`` got no answer."""
        liveness = self.workers.get(worker)
        if liveness is not None:
            liveness.is_unresponsive = True
        for gang in self._gangs_on(worker):
            phase = gang.phase
            handle_failed_poll(gang, worker, now_s, self.timing)
            self._note_phase(gang, phase)

    def add(self, gang: GangAttempt) -> None:
        """Follow ``gang``; what its workers last reported counts."""
        self.gangs[gang.attempt_id] = gang
        self.urgent_workers.update(gang.allocations)
        for worker in gang.allocations:
            self._by_worker[worker].add(gang.attempt_id)
            liveness = self.workers.get(worker)
            if liveness is not None:
                liveness.possible_orphans.pop(gang.attempt_id, None)
                self._observe(gang, liveness, '')

    def remove(self, gang: GangAttempt) -> None:
        """Stop following ``gang``; its workers are told to forget it."""
        self.gangs.pop(gang.attempt_id)
        for worker in gang.allocations:
            self._by_worker[worker].discard(gang.attempt_id)
            liveness = self.workers.get(worker)
            if liveness is not None:
                liveness.to_forget.add(gang.attempt_id)

    def advance(
        self, gang: GangAttempt, now_s: float, *, may_start: bool
    ) -> None:
        """Move ``gang`` on where the reports or the time allow."""
        phase = gang.phase
        for worker, allocation in gang.allocations.items():
            if worker not in self.workers:
                allocation.is_unresponsive = True
        advance(gang, now_s, self.timing, may_start=may_start)
        self._note_phase(gang, phase)

    def stop(self, gang: GangAttempt, cause: StopCause) -> None:
        """Stop every part of ``gang`` at once."""
        phase = gang.phase
        stop(gang, cause)
        self._note_phase(gang, phase)

    def checkpoint_and_stop(
        self, gang: GangAttempt, cause: StopCause, now_s: float
    ) -> None:
        """Checkpoint and stop ``gang`` whole."""
        phase = gang.phase
        checkpoint_and_stop(gang, cause, now_s)
        self._note_phase(gang, phase)

    def confirm_orphans(self, scan_began_s: float) -> None:
        """Give up reported attempts that no record named at a scan."""
        for liveness in self.workers.values():
            liveness.confirm_orphans(scan_began_s)

    def _gangs_on(self, worker: WorkerId) -> tuple[GangAttempt, ...]:
        return tuple(self.gangs[attempt] for attempt in self._by_worker[worker])

    def _observe(
        self, gang: GangAttempt, liveness: WorkerLiveness, refusal: str
    ) -> None:
        if liveness.last_contact_at_s is None:
            return
        phase = gang.phase
        worker = liveness.description.worker
        before = gang.allocations[worker].states
        reports = liveness.reports.get(gang.attempt_id, {})
        observe(gang, worker, liveness.last_contact_at_s, reports, refusal)
        self._note_phase(gang, phase)
        if before != gang.allocations[worker].states:
            self.has_changes = True

    def _note_phase(self, gang: GangAttempt, before: Phase) -> None:
        if gang.phase is not before:
            self.urgent_workers.update(gang.allocations)
            self.has_changes = True
