"""Workers and attempts of one domain: what to send, what came back."""

from collections import defaultdict

from .attempts import advance, miss, observe, save_and_stop
from .gang import GangAttempt, Phase, StopCause, Timing, stop
from .ids import AttemptId, Epoch, VmId, WorkerId
from .instructions import instruct
from .sync_requests import RequestBuilder
from .worker_api import SyncAnswer, SyncRequest, WorkerDescription
from .worker_liveness import WorkerSight


class GangTable:
    """Every worker and every attempt that a control follows."""

    def __init__(self, epoch: Epoch, control: VmId, timing: Timing) -> None:
        """Start empty; ``timing`` are the leases granted to tasks."""
        self.epoch = epoch
        self.timing = timing
        self.workers: dict[WorkerId, WorkerSight] = {}
        self.gangs: dict[AttemptId, GangAttempt] = {}
        # Workers that have to hear something before their next round.
        self.urgent: set[WorkerId] = set()
        # Higher epoch that a worker told; None while not fenced.
        self.fenced_by: Epoch | None = None
        # An attempt moved on since this was last set back.
        self.has_news = False
        self._control = control
        self._by_worker: dict[WorkerId, set[AttemptId]] = defaultdict(set)

    def see_worker(self, description: WorkerDescription) -> None:
        """Add a worker, or take its new description."""
        known = self.workers.get(description.worker)
        if known is None:
            self.workers[description.worker] = WorkerSight(description)
        else:
            known.description = description

    def drop_worker(self, worker: WorkerId, now_s: float) -> None:
        """Give up a worker that is not listed any more."""
        self.missed(worker, now_s)
        self.workers.pop(worker, None)

    def request(
        self, worker: WorkerId, now_s: float, *, may_start: bool
    ) -> SyncRequest:
        """Return this round's request; call it right before sending."""
        self.urgent.discard(worker)
        builder = RequestBuilder()
        for gang in self._gangs_on(worker):
            self.advance(gang, now_s, may_start=may_start)
            phase = gang.phase
            told = instruct(
                gang, worker, now_s, self.timing, may_start=may_start
            )
            self._note_phase(gang, phase)
            builder.add(gang.attempt_id, told)
        sight = self.workers.get(worker)
        if sight is not None:
            builder.add_clean_up(sight)
        return builder.build(self.epoch, self._control, self.timing)

    def answered(
        self,
        worker: WorkerId,
        request: SyncRequest,
        sent_s: float,
        answer: SyncAnswer,
    ) -> None:
        """Take in the answer to ``request``, which was sent at ``sent_s``."""
        if not answer.accepted:
            self.fenced_by = answer.epoch
            return
        sight = self.workers.get(worker)
        if sight is None:
            return
        sight.take(request, sent_s, answer, self._by_worker[worker])
        for gang in self._gangs_on(worker):
            refusal = answer.refused.get(gang.attempt_id, '')
            self._observe(gang, sight, refusal)

    def missed(self, worker: WorkerId, now_s: float) -> None:
        """Take in that a request to ``worker`` got no answer."""
        sight = self.workers.get(worker)
        if sight is not None:
            sight.silent = True
        for gang in self._gangs_on(worker):
            phase = gang.phase
            miss(gang, worker, now_s, self.timing)
            self._note_phase(gang, phase)

    def add(self, gang: GangAttempt) -> None:
        """Follow ``gang``; what its workers last reported counts."""
        self.gangs[gang.attempt_id] = gang
        self.urgent.update(gang.held)
        for worker in gang.held:
            self._by_worker[worker].add(gang.attempt_id)
            sight = self.workers.get(worker)
            if sight is not None:
                sight.strangers.pop(gang.attempt_id, None)
                self._observe(gang, sight, '')

    def remove(self, gang: GangAttempt) -> None:
        """Stop following ``gang``; its workers are told to forget it."""
        self.gangs.pop(gang.attempt_id)
        for worker in gang.held:
            self._by_worker[worker].discard(gang.attempt_id)
            sight = self.workers.get(worker)
            if sight is not None:
                sight.forget.add(gang.attempt_id)

    def advance(
        self, gang: GangAttempt, now_s: float, *, may_start: bool
    ) -> None:
        """Move ``gang`` on where the reports or the time allow."""
        phase = gang.phase
        for worker, held in gang.held.items():
            if worker not in self.workers:
                held.silent = True
        advance(gang, now_s, self.timing, may_start=may_start)
        self._note_phase(gang, phase)

    def stop(self, gang: GangAttempt, cause: StopCause) -> None:
        """Stop every part of ``gang`` at once."""
        phase = gang.phase
        stop(gang, cause)
        self._note_phase(gang, phase)

    def give_way(
        self, gang: GangAttempt, cause: StopCause, now_s: float
    ) -> None:
        """Checkpoint and stop ``gang`` whole."""
        phase = gang.phase
        save_and_stop(gang, cause, now_s)
        self._note_phase(gang, phase)

    def judge_strangers(self, scan_began_s: float) -> None:
        """Give up reported attempts that no record named at a scan."""
        for sight in self.workers.values():
            sight.judge_strangers(scan_began_s)

    def _gangs_on(self, worker: WorkerId) -> tuple[GangAttempt, ...]:
        return tuple(self.gangs[attempt] for attempt in self._by_worker[worker])

    def _observe(
        self, gang: GangAttempt, sight: WorkerSight, refusal: str
    ) -> None:
        if sight.seen_s is None:
            return
        phase = gang.phase
        worker = sight.description.worker
        before = gang.held[worker].states
        reports = sight.reports.get(gang.attempt_id, {})
        observe(gang, worker, sight.seen_s, reports, refusal)
        self._note_phase(gang, phase)
        if before != gang.held[worker].states:
            self.has_news = True

    def _note_phase(self, gang: GangAttempt, before: Phase) -> None:
        if gang.phase is not before:
            self.urgent.update(gang.held)
            self.has_news = True
