"""Learns which images slow each other down on one worker.

The load is services whose tail latency rises, and other tasks whose progress
slows, beside tasks of some images and not of others, by amounts that change
within seconds, on workers that are slow for other reasons too. A pair is named
only if arrivals of the neighbour made the victim slower and departures made it
faster, on several workers; see docs/design/interference.md.
"""

import math
from collections.abc import Mapping

import msgspec

from .effect_estimate import EffectEstimate, RecentSources
from .ids import ImageName
from .job_spec import JobSpec
from .job_state import Allocation
from .neighbour_changes import FULL_WORKER, NeighbourChanges, ObservedChange
from .recent_rate import MAX_WINDOW_S, RecentRates
from .workers import Worker

# Slowdown from the ratio of tail latency to target at which best-effort tasks
# are slowed, 0.75, to the target. Callers feel it.
MIN_SLOWDOWN = math.log(4 / 3)
# Observations, workers and units that name a pair; with fewer, one odd worker
# or task would be enough.
MIN_OBSERVATIONS = 4.0
MIN_WORKERS = 3
MIN_UNITS = 3
# Pairs are reviewed every second: a chance effect must be rarer than one in
# ten thousand.
SURE_STANDARD_ERRORS = 4.0
# Needed in either direction to name a pair, and to keep it. Two departures of
# tasks at half speed weigh so much; strong harm is throttled soon.
MIN_EACH_WAY = 0.5
KEPT_OBSERVATIONS = 0.25
KEPT_SLOWDOWN = MIN_SLOWDOWN / 2
# Effects beyond e**2 = 7 times say no more than that one.
MAX_SLOWDOWN = 2.0
# Pairs in memory: 16 images on each side.
MAX_PAIRS = 256
# How often old evidence is dropped; much shorter than it lasts.
REVIEW_INTERVAL_S = 1.0
# Less than a percent in the time over which a rate is taken tells nothing.
MIN_RATE_PERCENT_PER_S = 1 / MAX_WINDOW_S

# Victim and neighbour.
Pair = tuple[ImageName, ImageName]


class PairChange(msgspec.Struct, frozen=True, kw_only=True):
    """A pair that was named or forgotten."""

    victim: ImageName
    neighbour: ImageName
    is_named: bool
    # Share by which one task of the neighbour slows the victim.
    slowdown: float
    observations: float


class _PairEvidence(msgspec.Struct, eq=False):
    arrivals: EffectEstimate = msgspec.field(default_factory=EffectEstimate)
    departures: EffectEstimate = msgspec.field(default_factory=EffectEstimate)
    workers: RecentSources = msgspec.field(default_factory=RecentSources)
    units: RecentSources = msgspec.field(default_factory=RecentSources)

    @property
    def weight(self) -> float:
        return min(self.arrivals.weight, self.departures.weight)

    @property
    def mean(self) -> float:
        return (self.arrivals.mean + self.departures.mean) / 2

    @property
    def standard_error(self) -> float:
        # Reports between the arrival and the departure of a task enter both:
        # the errors add up.
        arrivals = self.arrivals.standard_error
        return (arrivals + self.departures.standard_error) / 2

    def add(self, change: ObservedChange, now_s: float) -> None:
        estimate = self.arrivals if change.has_arrived else self.departures
        slowdown = max(-MAX_SLOWDOWN, min(MAX_SLOWDOWN, change.slowdown))
        estimate.add(slowdown, change.weight, now_s)
        self.workers.record(change.worker, now_s)
        self.units.record(change.unit, now_s)

    def decay(self, now_s: float) -> None:
        self.arrivals.decay(now_s)
        self.departures.decay(now_s)

    def is_sure(self, now_s: float) -> bool:
        """Return whether the neighbour certainly slows the victim."""
        weight = self.arrivals.weight + self.departures.weight
        if weight < MIN_OBSERVATIONS or self.weight < MIN_EACH_WAY:
            return False
        has_sources = (
            self.workers.count(now_s) >= MIN_WORKERS
            and self.units.count(now_s) >= MIN_UNITS
        )
        bound = max(MIN_SLOWDOWN, SURE_STANDARD_ERRORS * self.standard_error)
        return has_sources and self.is_kept() and self.mean >= bound

    def is_kept(self) -> bool:
        """Return whether a pair that was named stays so."""
        return (
            self.weight >= KEPT_OBSERVATIONS
            and min(self.arrivals.mean, self.departures.mean) >= KEPT_SLOWDOWN
        )


class InterferenceModel:
    """Pairs of images of which one slows the other; the leader's memory."""

    def __init__(self) -> None:
        """Start without any evidence."""
        self._rates = RecentRates()
        # Whether a job with an image was accepted; without any, nothing is
        # learnt and nothing is done.
        self.sees_images = False
        self._changes = NeighbourChanges()
        self._evidence: dict[Pair, _PairEvidence] = {}
        # Logarithms of slowdowns.
        self._named: dict[Pair, float] = {}
        self._reviewed_at_s = -math.inf

    @property
    def named_pairs(self) -> frozenset[Pair]:
        """Return the pairs (victim, neighbour) that are named now."""
        return frozenset(self._named)

    def record_job(self, spec: JobSpec) -> None:
        """Record that tasks of ``spec`` may run."""
        self.sees_images |= any(step.image for step in spec.steps)

    def observe(self, worker: Worker, now_s: float) -> list[PairChange]:
        """Learn from a worker's report; returns the pairs that changed."""
        self._rates.record(worker, now_s)
        for change in self._changes.observe(worker, self._slowdown, now_s):
            pair = (change.victim, change.neighbour)
            if self._has_room(pair):
                evidence = self._evidence.setdefault(pair, _PairEvidence())
                evidence.add(change, now_s)
        if now_s - self._reviewed_at_s < REVIEW_INTERVAL_S:
            return []
        self._reviewed_at_s = now_s
        return self._review(now_s)

    def harms(self, victim: ImageName, neighbour: ImageName) -> bool:
        """Return whether tasks of ``neighbour`` slow those of ``victim``."""
        return (victim, neighbour) in self._named

    def concerns(self, image: ImageName) -> bool:
        """Return whether a named pair speaks of tasks of ``image``."""
        return any(
            image in pair or pair[1] == FULL_WORKER for pair in self._named
        )

    def expected_slowdown(
        self,
        image: ImageName,
        neighbours: Mapping[ImageName, int],
        *,
        fills_worker: bool,
    ) -> float:
        """Return what a task of ``image`` costs all on a worker.

        The sum of the shares by which it and its ``neighbours``, whose number
        is given by image, get slower. ``fills_worker``: nearly no CPU is left
        free beside it.
        """
        total = 0.0
        for (victim, neighbour), slowdown in self._named.items():
            share = math.expm1(slowdown)
            if neighbour == FULL_WORKER:
                affected = neighbours.get(victim, 0) + int(victim == image)
                total += share * affected * int(fills_worker)
                continue
            if victim == image:
                total += share * neighbours.get(neighbour, 0)
            if neighbour == image:
                total += share * neighbours.get(victim, 0)
        return total

    def _slowdown(self, allocation: Allocation) -> float | None:
        """Return the logarithm of the run's slowdown; None: not known."""
        spec = allocation.unit.spec
        if spec.is_service:
            if allocation.load <= 0:
                return None
            return math.log(allocation.load / (spec.target_tail_ms or 1))
        # Only changes within one run count, so that its length cancels out.
        rate = self._rates.recent_rate(allocation)
        if rate is None:
            return None
        return -math.log(max(rate, MIN_RATE_PERCENT_PER_S))

    def _has_room(self, pair: Pair) -> bool:
        return pair in self._evidence or len(self._evidence) < MAX_PAIRS

    def _review(self, now_s: float) -> list[PairChange]:
        """Name and forget pairs by what is known now."""
        self._changes.forget_silent(now_s)
        self._rates.forget_silent(now_s)
        changed = []
        for pair, evidence in tuple(self._evidence.items()):
            evidence.decay(now_s)
            was_named = pair in self._named
            is_named = (
                evidence.is_kept() if was_named else evidence.is_sure(now_s)
            )
            if is_named:
                self._named[pair] = evidence.mean
            elif was_named:
                self._named.pop(pair)
            if is_named != was_named:
                changed.append(_pair_change(pair, evidence, is_named))
            if not is_named and _is_void(evidence):
                self._evidence.pop(pair)
        return changed


def _is_void(evidence: _PairEvidence) -> bool:
    heaviest = max(evidence.arrivals.weight, evidence.departures.weight)
    return heaviest < KEPT_OBSERVATIONS


def _pair_change(
    pair: Pair, evidence: _PairEvidence, is_named: bool
) -> PairChange:
    victim, neighbour = pair
    return PairChange(
        victim=victim,
        neighbour=neighbour,
        is_named=is_named,
        slowdown=math.expm1(evidence.mean),
        observations=evidence.weight,
    )
