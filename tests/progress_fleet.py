"""A fleet whose runs advance at rates of their own, for tests of progress."""

from batch_builders import Bench

from bulrushcove.batch.job_state import AllocationPhase
from bulrushcove.batch.workers import EndKind

TICK_S = 0.25
# Workers report at least this often.
REPORT_S = 1.5


class Fleet:
    """A bench with reports of the progress that runs have made."""

    def __init__(self, *entries, percent_s):
        """``percent_s`` returns the seconds of a percent of a unit."""
        self.bench = Bench(*entries)
        self.percent_s = percent_s
        self.standing = set()
        # Percents of each run of a unit, and all stops by worker and time.
        self.done = {}
        self.stops = []

    @property
    def workers(self):
        return self.bench.engine.workers

    def submit(self, *specs):
        return [self.bench.submit(spec) for spec in specs]

    def play(self, seconds):
        """Let time pass; return the allocations that were stopped."""
        begun = len(self.stops)
        for _ in range(int(seconds / TICK_S)):
            self._schedule()
            self.bench.advance(TICK_S)
            self._advance_runs()
            for number, name in enumerate(self.workers):
                self._report_if_due(number, name)
        return self.stops[begun:]

    def _schedule(self):
        for allocation in self.bench.start_all().stops:
            allocation.phase = AllocationPhase.STOPPING
            self.stops.append(allocation)
            self.bench.end(allocation, EndKind.STOPPED)

    def _advance_runs(self):
        for unit in self._running_units():
            run = (unit.ref, unit.run)
            members = unit.allocations.values()
            if not any(one.worker in self.standing for one in members):
                percents = TICK_S / self.percent_s(unit)
                self.done[run] = self.done.get(run, 0) + percents

    def _running_units(self):
        units = {
            allocation.unit.ref: allocation.unit
            for worker in self.workers.values()
            for allocation in worker.allocations.values()
        }
        return units.values()

    def _report_if_due(self, number, name):
        worker = self.workers[name]
        is_short = getattr(worker, 'suspected_since_s', 0)
        ticks = int(self.bench.now_s / TICK_S) + number
        if not is_short and ticks % int(REPORT_S / TICK_S):
            return
        for allocation in tuple(worker.allocations.values()):
            if self._percent(allocation) >= 100:
                self.bench.end(allocation, EndKind.DONE)
        self.bench.report(
            name,
            running=[
                (allocation.ref, '', self._percent(allocation))
                for allocation in worker.allocations.values()
            ],
        )

    def _percent(self, allocation):
        return int(self.done.get((allocation.unit.ref, allocation.run), 0))
