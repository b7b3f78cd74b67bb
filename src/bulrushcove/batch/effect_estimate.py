"""Estimate of an effect from few noisy observations that age."""

import math
from collections.abc import Hashable

import msgspec

# Disturbance changes within seconds, and a task that is placed by an estimate
# runs for some ten seconds: the task after next is placed by half of it.
EVIDENCE_S = 20.0
# Sources that are remembered; more than an estimate needs.
MAX_SOURCES = 8
# What is assumed of the noise of an observation, as a logarithm of a slowdown,
# and as how many observations that assumption counts.
PRIOR_DEVIATION = 0.3
PRIOR_WEIGHT = 2.0


class EffectEstimate(msgspec.Struct, eq=False):
    """Mean of observations whose weight decays, and how sure it is."""

    weight: float = 0
    updated_at_s: float = 0
    _sum: float = 0
    _sum_of_squares: float = 0

    def add(self, observed: float, weight: float, now_s: float) -> None:
        """Add one observation; ``weight`` is at most 1."""
        self.decay(now_s)
        self.weight += weight
        self._sum += weight * observed
        self._sum_of_squares += weight * observed**2

    def decay(self, now_s: float) -> None:
        """Reduce the weight of all observations by their age."""
        kept = math.exp(-max(0, now_s - self.updated_at_s) / EVIDENCE_S)
        self.updated_at_s = now_s
        self.weight *= kept
        self._sum *= kept
        self._sum_of_squares *= kept

    @property
    def mean(self) -> float:
        """Return the mean; 0 without observations."""
        return self._sum / self.weight if self.weight else 0

    @property
    def standard_error(self) -> float:
        """Return the standard error of the mean; infinite without any."""
        if not self.weight:
            return math.inf
        spread = self._sum_of_squares - self.weight * self.mean**2
        prior = PRIOR_WEIGHT * PRIOR_DEVIATION**2
        variance = (max(0, spread) + prior) / (self.weight + PRIOR_WEIGHT)
        return math.sqrt(variance / self.weight)


class RecentSources(msgspec.Struct, eq=False):
    """From which workers or units observations came lately."""

    _seen_at_s: dict[Hashable, float] = msgspec.field(default_factory=dict)

    def record(self, source: Hashable, now_s: float) -> None:
        """Record an observation from ``source``; drops the oldest ones."""
        self._seen_at_s.pop(source, None)
        self._seen_at_s[source] = now_s
        if len(self._seen_at_s) > MAX_SOURCES:
            self._seen_at_s.pop(next(iter(self._seen_at_s)))

    def count(self, now_s: float) -> int:
        """Return how many there were while observations keep weight."""
        return sum(
            now_s - seen_at_s <= 2 * EVIDENCE_S
            for seen_at_s in self._seen_at_s.values()
        )
