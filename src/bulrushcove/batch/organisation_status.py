"""What each organisation has, may have and waits for, for logs and metrics."""

from collections.abc import Iterable

import msgspec

from ..ids import OrganisationId
from .fair_shares import DEFAULT_WEIGHT
from .job_spec import TaskSize
from .job_state import Unit, UnitPhase
from .limit_gate import size_fits, size_of
from .organisation_usage import NOTHING, Usage
from .policy import Organisation

_PERCENT = 100


class OrganisationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of one organisation after a scheduling pass."""

    name: OrganisationId
    used: TaskSize
    # 0: no limit.
    limit: TaskSize
    # Of all that runs or waits, by the weights; 0 if it has neither.
    share_percent: int
    # Units that are ready: those that the limit keeps waiting, and the others.
    waiting_for_limit: int
    waiting_for_room: int


def describe_organisations(
    organisations: Iterable[Organisation], used: Usage, ready: Iterable[Unit]
) -> list[OrganisationStatus]:
    """Return the state of ``organisations``.

    ``ready`` are the units that the last pass has looked at, also those that
    it has started.
    """
    waiting: dict[OrganisationId, list[Unit]] = {}
    for unit in ready:
        if unit.phase is UnitPhase.WAITING and not unit.job.has_ended:
            name = unit.job.spec.terms.organisation
            waiting.setdefault(name, []).append(unit)
    configured = tuple(organisations)
    total_weight = sum(
        _weight_of(one)
        for one in configured
        if one.name in used or one.name in waiting
    )
    return [
        _describe(one, used, waiting.get(one.name, []), total_weight)
        for one in configured
    ]


def _describe(
    organisation: Organisation,
    used: Usage,
    waiting: list[Unit],
    total_weight: float,
) -> OrganisationStatus:
    own = used.get(organisation.name, NOTHING)
    for_limit = sum(
        1
        for unit in waiting
        if not size_fits(own.plus(size_of(unit)), organisation.limit)
    )
    share_percent = 0
    if waiting or own != NOTHING:
        share_percent = round(
            _PERCENT * _weight_of(organisation) / total_weight
        )
    return OrganisationStatus(
        name=organisation.name,
        used=own,
        limit=organisation.limit,
        share_percent=share_percent,
        waiting_for_limit=for_limit,
        waiting_for_room=len(waiting) - for_limit,
    )


def _weight_of(organisation: Organisation) -> float:
    return organisation.weight or DEFAULT_WEIGHT
