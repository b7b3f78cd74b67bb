"""Generates seeded job arrivals, modelled on the load that users describe.

Arrivals come in bursts, and declared run times are wrong.
"""

import math
import random
from collections.abc import Iterator

import msgspec

from bulrushcove.clock import MS_PER_S
from bulrushcove.contract import Contract, GuaranteedShape
from bulrushcove.ids import OrganisationId
from bulrushcove.job import MAX_GANG_TASKS, JobSpec
from bulrushcove.states import Adjacency, Urgency

ARRIVALS_S = 5400
# Share of the job kinds whose tasks ignore checkpoint requests.
NO_CHECKPOINT_SHARE = 0.2
# Mean intervals between arrivals, outside and inside a burst.
CALM_INTERVAL_S = 11.0
BURST_INTERVAL_S = 1.4
# Mean durations of calm phases and bursts.
CALM_DURATION_S = 400.0
BURST_DURATION_S = 45.0
# Declared run times are up to this factor too long or too short.
MAX_DECLARED_FACTOR = 10


class Arrival(msgspec.Struct, frozen=True):
    """A job that a caller submits at ``at_s``."""

    at_s: float
    organisation: OrganisationId
    spec: JobSpec
    # Run time on healthy workers; the scheduler does not know it.
    run_s: float
    saves_checkpoints: bool = True


class _Kind(msgspec.Struct, frozen=True):
    name: str
    weight: float
    tasks: tuple[int, ...]
    accelerators: int
    run_s: float
    adjacency: Adjacency = Adjacency.DOMAIN
    urgency: Urgency = Urgency.NORMAL


KINDS = (
    _Kind('solids-check', 24, (1, 1, 2), 1, 5, urgency=Urgency.URGENT),
    _Kind('order-batch', 14, (1,), 1, 8, urgency=Urgency.URGENT),
    _Kind('stock-tally', 30, (1, 1, 2, 4), 1, 150),
    _Kind('trend', 16, (1,), 2, 300),
    _Kind('recipe-batch', 9, (4, 8, 12), 1, 420),
    _Kind('kiln-review', 4, (1,), 8, 600, Adjacency.WORKER),
    _Kind('boiler-review', 1.2, (16, 32), 1, 900, Adjacency.RACK),
    _Kind('mill-review', 0.6, (4,), 8, 900, Adjacency.RACK),
    _Kind('mistake', 0.5, (2,), 9, 60),
)
MIN_LARGE_ACCELERATORS = 16

ORGANISATION_SHARES = (
    (OrganisationId('litoral'), 0.5),
    (OrganisationId('parlstugan'), 0.25),
    (OrganisationId('mill-tres'), 0.15),
    (OrganisationId('tea-cuatro'), 0.1),
)


def make_contracts() -> dict[OrganisationId, Contract]:
    """Return contracts whose guarantees all fit into any one domain."""
    shapes = {
        'litoral': (GuaranteedShape(32, Adjacency.RACK),),
        'parlstugan': (GuaranteedShape(8, Adjacency.WORKER, count=2),),
        'mill-tres': (GuaranteedShape(8, Adjacency.WORKER),),
        'tea-cuatro': (GuaranteedShape(4),),
    }
    return {
        OrganisationId(name): Contract(
            organisation=OrganisationId(name),
            token_sha256=(),
            guaranteed=guaranteed,
        )
        for name, guaranteed in shapes.items()
    }


def make_arrivals(seed: int, load: float) -> list[Arrival]:
    """Return the arrivals of one run; ``load`` scales their rate."""
    rng = random.Random(seed)
    return list(_generate_arrivals(rng, load))


def _generate_arrivals(rng: random.Random, load: float) -> Iterator[Arrival]:
    now_s = 0.0
    in_burst = False
    phase_ends_at_s = rng.expovariate(1 / CALM_DURATION_S)
    while now_s < ARRIVALS_S:
        mean_interval_s = BURST_INTERVAL_S if in_burst else CALM_INTERVAL_S
        now_s += rng.expovariate(load / mean_interval_s)
        if now_s > phase_ends_at_s:
            in_burst = not in_burst
            duration_s = BURST_DURATION_S if in_burst else CALM_DURATION_S
            phase_ends_at_s = now_s + rng.expovariate(1 / duration_s)
        yield _draw_arrival(rng, now_s)


def _draw_arrival(rng: random.Random, now_s: float) -> Arrival:
    kind = rng.choices(KINDS, [each.weight for each in KINDS])[0]
    names, shares = zip(*ORGANISATION_SHARES, strict=True)
    organisation = rng.choices(names, shares)[0]
    tasks = rng.choice(kind.tasks)
    # The mean of this factor is 1: exp(-0.18 + 0.6 ** 2 / 2).
    run_s = kind.run_s * rng.lognormvariate(-0.18, 0.6)
    factor = math.exp(rng.uniform(-1, 1) * math.log(MAX_DECLARED_FACTOR))
    spec = JobSpec(
        kind=kind.name,
        tasks=min(tasks, MAX_GANG_TASKS),
        accelerators_per_task=kind.accelerators,
        cores_per_task=kind.accelerators * 3,
        memory_mb_per_task=kind.accelerators * 4096,
        adjacency=kind.adjacency,
        urgency=kind.urgency,
        declared_run_ms=max(int(run_s * factor * MS_PER_S), 1),
    )
    # Fixed for each kind and organisation.
    saves_checkpoints = (len(kind.name) * 7 + len(organisation)) % 5 > 0
    return Arrival(now_s, organisation, spec, run_s, saves_checkpoints)
