"""Replays a burst through the engine: runs progress, end and are stopped."""

from collections import Counter, defaultdict

from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.workers import EndKind

TICK_S = 0.25


class BurstPlayer:
    """Advances a bench; runs last as long as ``real_s`` returns for a unit."""

    def __init__(self, bench, real_s, stop_s=0.25):
        self.bench = bench
        self.real_s = real_s
        self.stop_s = stop_s
        self.started_at_s = {}
        # Runs of each job that were stopped.
        self.stops = Counter()
        self._stopping = {}
        self._numbers = Counter()
        # Work done by earlier runs of units that write checkpoints.
        self._saved_s = defaultdict(float)

    def tick(self):
        """Run a pass, then report progress, ends and stops after a tick."""
        bench = self.bench
        plan = bench.plan()
        for allocation in plan.stops:
            allocation.phase = AllocationPhase.STOPPING
            self._stopping.setdefault(allocation, bench.now_s)
            self.stops[allocation.unit.job.id] += 1
        for allocation in plan.starts:
            allocation.is_start_sent = True
            self.started_at_s.setdefault(allocation.unit.job.id, bench.now_s)
        for worker in self._workers():
            self._report(worker, [])
        bench.advance(TICK_S)
        for worker in self._workers():
            self._report(worker, self._ends(worker))
        return plan

    def play(self, seconds):
        until_s = self.bench.now_s + seconds
        while self.bench.now_s < until_s:
            self.tick()

    def _workers(self):
        return list(self.bench.engine.workers.values())

    def _ends(self, worker):
        ends = []
        for allocation in worker.allocations.values():
            stop_at_s = self._stopping.get(allocation)
            if stop_at_s is not None:
                if self.bench.now_s - stop_at_s >= self.stop_s:
                    ends.append((allocation, EndKind.STOPPED))
            elif self._done_s(allocation) >= self.real_s(allocation.unit):
                ends.append((allocation, EndKind.DONE))
        return ends

    def _done_s(self, allocation):
        started_at_s = allocation.start_confirmed_at_s
        saved_s = self._saved_s[allocation.unit.ref]
        return saved_s + max(0, self.bench.now_s - started_at_s)

    def _report(self, worker, ends):
        ended = []
        for allocation, kind in ends:
            self._numbers[worker.id] += 1
            unit = allocation.unit
            checkpoint = ''
            if unit.spec.writes_checkpoints and kind is EndKind.STOPPED:
                self._saved_s[unit.ref] = self._done_s(allocation)
                checkpoint = f'{self.bench.now_s}'
            ended.append(
                (self._numbers[worker.id], allocation.ref, kind, checkpoint)
            )
        gone = {allocation for allocation, _ in ends}
        running = [
            (one.ref, '', self._percent(one))
            for one in worker.allocations.values()
            if one not in gone
        ]
        self.bench.report(worker.id, running=running, ended=ended)

    def _percent(self, allocation):
        if allocation.start_confirmed_at_s is None:
            return 0
        share = self._done_s(allocation) / self.real_s(allocation.unit)
        return min(99, int(100 * share))
