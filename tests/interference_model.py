"""A drawn world in which tasks of some images slow others on their worker.

Time is virtual. Runs are slow for other reasons too: slow workers, cold ones,
long tasks, remote data, load that drifts, and reports are noisy. What the
workers report is computed from the known harm, which the learner must find.
"""

import math
import random
from dataclasses import dataclass, field

from batch_builders import entry, job_spec, step

from bulrushcove.batch.interference import InterferenceModel
from bulrushcove.batch.job_state import Allocation, AllocationPhase, new_job
from bulrushcove.batch.pacing import speed_of, update_throttle
from bulrushcove.batch.workers import Worker

REPORT_INTERVAL_S = 0.5
TARGET_MS = 100
# Time constant with which a worker that has just started gets faster.
WARM_UP_S = 6.0


@dataclass
class World:
    """Workers with services, best-effort tasks and batch tasks."""

    seed: int
    # Factor by which one task of the second image slows the first one.
    harm: dict = field(default_factory=dict)
    worker_count: int = 8
    service_images: tuple = ('web', 'search')
    filling_images: tuple = ('index', 'video', 'mail')
    batch_images: tuple = ('train',)
    # Mean seconds between arrivals on a worker, and how long tasks last.
    pause_s: float = 3.0
    # Mean tail latency of services alone, over the target.
    level: float = 0.3
    noise: float = 0.15
    # How long best-effort and batch tasks last on average.
    filling_s: float = 7.0
    batch_s: float = 7.0
    # Share of workers that turn cold now and then, and mean seconds between.
    cold_share: float = 0.25
    warm_s: float = 20.0
    is_paced: bool = True

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.model = InterferenceModel()
        self.now_s = 100.0
        self.named_ever = set()
        self.changes = []
        self.numbers = iter(range(1_000_000))
        self.ends_at_s = {}
        self.factors = {}
        self.progress = {}
        self.workers = [
            Worker(entry=entry(f'w{number}'))
            for number in range(self.worker_count)
        ]
        # Slow workers, drifting load of services, start of cold workers.
        self.slowness = {
            each.id: self.rng.choice((0, 0, 0, 0.5, 1.0))
            for each in self.workers
        }
        self.load = {each.id: 0.0 for each in self.workers}
        self.cold_since_s = {
            each.id: self.now_s
            if self.rng.random() < self.cold_share
            else -math.inf
            for each in self.workers
        }
        for worker in self.workers:
            for image in self.service_images:
                self.add(
                    worker, image, is_service=True, target_tail_ms=TARGET_MS
                )

    def add(self, worker, image, **others):
        spec = job_spec(
            f'job-{next(self.numbers)}', step(image=image, **others)
        )
        self.model.record_job(spec)
        job = new_job(spec, 0, self.now_s)
        allocation = Allocation(
            unit=job.units[0],
            index=0,
            run=1,
            worker=worker.id,
            phase=AllocationPhase.RUNNING,
            start_confirmed_at_s=self.now_s,
        )
        worker.allocations[allocation.ref] = allocation
        # Long tasks, and data on another rack.
        self.factors[allocation.ref] = self.rng.choice((1, 1, 1, 3)) * (
            self.rng.lognormvariate(0, 0.5)
        )
        self.progress[allocation.ref] = 0.0
        is_filling = allocation.unit.spec.fills_idle
        mean_s = self.filling_s if is_filling else self.batch_s
        self.ends_at_s[allocation.ref] = (
            math.inf
            if allocation.unit.spec.is_service
            else self.now_s + mean_s * self.rng.uniform(0.5, 1.5)
        )
        return allocation

    def run(self, seconds):
        for _ in range(round(seconds / REPORT_INTERVAL_S)):
            self.now_s += REPORT_INTERVAL_S
            for worker in self.workers:
                self.tick(worker)

    def tick(self, worker):
        self.come_and_go(worker)
        is_cold_one = self.cold_since_s[worker.id] > -math.inf
        if is_cold_one and self.rng.random() < REPORT_INTERVAL_S / self.warm_s:
            self.cold_since_s[worker.id] = self.now_s
        self.load[worker.id] += (
            self.rng.gauss(0, 0.05) - 0.02 * self.load[worker.id]
        )
        for allocation in worker.allocations.values():
            self.report(worker, allocation)
        found = self.model.observe(worker, self.now_s)
        self.changes.extend(found)
        self.named_ever |= self.model.named_pairs
        if self.is_paced:
            for allocation in update_throttle(
                worker, self.now_s, self.model.harms
            ):
                allocation.speed_percent = speed_of(worker, allocation)

    def come_and_go(self, worker):
        for ref, allocation in tuple(worker.allocations.items()):
            is_slowed = allocation.speed_percent < 100
            if is_slowed:
                # A task that is slowed lasts longer.
                share = 1 - allocation.speed_percent / 100
                self.ends_at_s[ref] += share * REPORT_INTERVAL_S
            if self.now_s >= self.ends_at_s[ref]:
                worker.allocations.pop(ref)
        if self.rng.random() >= REPORT_INTERVAL_S / self.pause_s:
            return
        image = self.rng.choice(self.filling_images + self.batch_images)
        is_filling = image in self.filling_images
        if not (is_filling and worker.is_throttled):
            self.add(worker, image, fills_idle=is_filling)

    def slowdown(self, worker, allocation):
        """Return how many times slower than usual a run is."""
        cold_s = self.now_s - self.cold_since_s[worker.id]
        slowdown = (
            1 + self.slowness[worker.id] + 2 * math.exp(-cold_s / WARM_UP_S)
        )
        for other in worker.allocations.values():
            pair = (allocation.unit.spec.image, other.unit.spec.image)
            if other is not allocation and pair in self.harm:
                dose = other.speed_percent / 100
                slowdown *= 1 + (self.harm[pair] - 1) * dose
        return slowdown

    def report(self, worker, allocation):
        slowdown = self.slowdown(worker, allocation)
        ref = allocation.ref
        if allocation.unit.spec.is_service:
            noise = math.exp(self.rng.gauss(self.load[worker.id], self.noise))
            allocation.load = TARGET_MS * self.level * slowdown * noise
            allocation.percent = 100
            return
        speed = allocation.speed_percent / 100
        percent_per_s = (
            100 / self.batch_s * speed / (self.factors[ref] * slowdown)
        )
        self.progress[ref] += percent_per_s * REPORT_INTERVAL_S
        allocation.percent = min(99, int(self.progress[ref]))
