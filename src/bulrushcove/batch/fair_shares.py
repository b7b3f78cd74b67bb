"""Order between organisations that wait when all is full.

Within a class of the queue order (urgent, on time, late or too late, and
priority) the next unit is that of the organisation with the least work in
progress for its weight. Units that come before in the order count as in
progress. What an organisation does not ask for goes to the others at once, as
nothing is kept for it. Urgent units keep their order: guarantees decide there.

It answers bursts in which one organisation sends many times its usual, so that
the others are not late for it.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from heapq import heapify, heappop, heappush
from itertools import groupby
from typing import Any

import msgspec

from ..ids import OrganisationId
from .job_state import Unit
from .organisation_usage import NOTHING, Usage
from .policy import Policy
from .queue_order import URGENT

# Weight of organisations for which the configuration states none.
DEFAULT_WEIGHT = 1.0

Weights = Mapping[OrganisationId, float]


def find_weights(policy: Policy | None) -> Weights:
    """Return the weights of organisations; empty if none are in force.

    Weights that are all alike say nothing without a limit.
    """
    organisations = policy.organisations if policy else ()
    weights = {
        organisation.name: organisation.weight or DEFAULT_WEIGHT
        for organisation in organisations
    }
    if not any(organisation.weight for organisation in organisations):
        return {}
    has_limits = any(
        organisation.limit != NOTHING for organisation in organisations
    )
    differ = any(weight != DEFAULT_WEIGHT for weight in weights.values())
    return weights if has_limits or differ else {}


def order_fairly(
    waiting: Iterable[Unit],
    weights: Weights,
    used: Usage,
    class_of: Callable[[Unit], Any],
) -> list[Unit]:
    """Return ``waiting`` with the organisations in the order of their shares.

    ``waiting`` is in queue order, ``class_of`` tells the units apart that go
    before others whatever their organisations have, and ``used`` is the work
    in progress. The order of units of one organisation in a class is kept.
    """
    loads_cores = {
        organisation: size.weight_cores for organisation, size in used.items()
    }
    ordered: list[Unit] = []
    for _, group in groupby(waiting, key=class_of):
        units = list(group)
        if units[0].job.spec.terms.priority == URGENT:
            for unit in units:
                _add_load(loads_cores, unit)
            ordered.extend(units)
        else:
            ordered.extend(_take_turns(units, weights, loads_cores))
    return ordered


class _Turn(msgspec.Struct, order=True, frozen=True):
    """The next turn of an organisation; the smallest one is first."""

    load_per_weight: float
    organisation: OrganisationId


def _take_turns(
    units: list[Unit],
    weights: Weights,
    loads_cores: dict[OrganisationId, float],
) -> list[Unit]:
    """Return ``units`` by turns; adds them to ``loads_cores``."""
    queues: dict[OrganisationId, deque[Unit]] = defaultdict(deque)
    for unit in units:
        queues[unit.job.spec.terms.organisation].append(unit)
    if len(queues) == 1:
        for only in units:
            _add_load(loads_cores, only)
        return units

    def next_turn(organisation: OrganisationId) -> _Turn:
        load_cores = loads_cores.get(organisation, 0)
        weight = weights.get(organisation, DEFAULT_WEIGHT)
        return _Turn(load_cores / weight, organisation)

    turns = [next_turn(organisation) for organisation in queues]
    heapify(turns)
    ordered = []
    while turns:
        organisation = heappop(turns).organisation
        queue = queues[organisation]
        ordered.append(queue.popleft())
        _add_load(loads_cores, ordered[-1])
        if queue:
            heappush(turns, next_turn(organisation))
    return ordered


def _add_load(loads_cores: dict[OrganisationId, float], unit: Unit) -> None:
    organisation = unit.job.spec.terms.organisation
    load_cores = loads_cores.get(organisation, 0)
    loads_cores[organisation] = load_cores + unit.weight_cores
