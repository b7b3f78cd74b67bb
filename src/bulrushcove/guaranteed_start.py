"""Starts jobs within the guarantee of their organisation."""

from collections.abc import Iterator

from .free_capacity import TaskCounts
from .guarantee_slots import Cover
from .job import JobRecord
from .pass_state import PassState
from .placement import find_best_fit, fitting_tasks, stricter_adjacency
from .preemption import find_preemption_options
from .states import Adjacency

# Ways to make room that are checked against the guarantees of others.
MAX_PREEMPTION_OPTIONS = 8


def start_guaranteed(state: PassState, record: JobRecord) -> bool:
    """Place the job in free room that its best matching cover may use.

    Larger covers stay whole for larger jobs as long as that one serves.
    """
    if state.requirements(record) in state.unplaceable:
        return False
    free = fitting_tasks(
        record.spec, state.capacity.free, state.visible_workers(record)
    )
    if sum(free.values()) < record.spec.tasks:
        return False
    covers = _covers(state, record)
    return any(
        _start_in(state, record, cover, free)
        for cover in covers
        if _size(cover) == _size(covers[0])
    )


def preempt_for_guarantee(state: PassState, record: JobRecord) -> bool:
    """Stop borrowed work so that the job can use its guarantee."""
    free = fitting_tasks(
        record.spec, state.capacity.free, state.visible_workers(record)
    )
    return any(
        _start_in(state, record, cover, free)
        or _reclaim_into(state, record, cover)
        for cover in _covers(state, record)
    )


def is_small_for_guarantee(state: PassState, record: JobRecord) -> bool:
    """Return whether the job uses less than half of each guaranteed shape."""
    weight = state.guarantees.weight(record.spec)
    return all(
        2 * weight < cover.accelerators
        for cover in state.guarantees.every_cover(record.organisation)
    )


def preempt_own_organisation(state: PassState, record: JobRecord) -> bool:
    """Let small gangs of the organisation leave their cover to the job.

    Otherwise the small jobs of an organisation would keep its large ones
    from the shape that was agreed for them.
    """
    guarantees = state.guarantees
    covers = [
        (cover, guarantees.users_to_yield(cover, record.spec))
        for cover in guarantees.every_cover(record.organisation)
    ]
    covers.sort(
        key=lambda each: sum(map(state.preemptible.preemption_cost, each[1]))
    )
    for cover, yielding in covers:
        for gang in yielding:
            guarantees.release(cover, gang)
            state.preemptible.add(gang)
        if yielding and _reclaim_into(state, record, cover):
            reason = f'leaves its guarantee to job {record.job}'
            state.preempt(record, yielding, reason)
            return True
        for kept in yielding:
            state.preemptible.remove(kept)
            guarantees.take_back(cover, kept)
    return False


def _start_in(
    state: PassState,
    record: JobRecord,
    cover: Cover,
    free: dict[int, int],
) -> bool:
    for counts in _covered_spreads(state, record, cover, free):
        if state.guarantees.admits(cover, record.spec, counts):
            state.place(record, counts, cover)
            return True
    return False


def _covered_spreads(
    state: PassState,
    record: JobRecord,
    cover: Cover,
    free: dict[int, int],
) -> Iterator[TaskCounts]:
    """Yield the best place beside the other covers, then the best of all."""
    spec = record.spec
    allowed = state.guarantees.allowed(cover, list(free))
    near = stricter_adjacency(spec.adjacency, cover.adjacency)
    most = fitting_tasks(spec, state.guarantees.unreserved(cover), allowed)
    beside = {index: min(free[index], most[index]) for index in most}
    everywhere = {index: free[index] for index in allowed}
    for fits in (beside, everywhere):
        counts = find_best_fit(spec, state.capacity, fits, near)
        if counts:
            yield counts


def _reclaim_into(state: PassState, record: JobRecord, cover: Cover) -> bool:
    spec = record.spec
    guarantees = state.guarantees
    allowed = guarantees.allowed(cover, state.visible_workers(record))
    near = stricter_adjacency(spec.adjacency, cover.adjacency)
    for ceiling in (guarantees.unreserved(cover), guarantees.firm_rooms()):
        ways = find_preemption_options(
            spec, state.capacity, state.preemptible, allowed, near, ceiling
        )
        for way in ways[:MAX_PREEMPTION_OPTIONS]:
            counts = find_best_fit(spec, state.capacity, way.fits, near)
            if not guarantees.admits(cover, spec, counts):
                continue
            if state.capacity.has_free(spec, counts):
                state.place(record, counts, cover)
            else:
                state.preempt_and_reserve(record, counts, way.victims, cover)
            return True
    return False


def _size(cover: Cover) -> tuple[Adjacency, int]:
    return cover.adjacency, cover.accelerators


def _covers(state: PassState, record: JobRecord) -> list[Cover]:
    """Return unlike covers for the job, the best match first."""
    found: dict[tuple[object, ...], Cover] = {}
    for cover in state.guarantees.covers(record.organisation, record.spec):
        bound = (cover.rack, cover.worker, cover.spot is None)
        found.setdefault((cover.adjacency, cover.rest, *bound), cover)
    return list(found.values())
