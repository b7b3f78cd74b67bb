"""Guarantee slots: instances of guaranteed shapes that gangs occupy."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from .block_packing import BlockPlacement
from .contract import Contract, GuaranteedShape
from .free_capacity import FreeCapacity
from .ids import DomainName, RackId
from .job import JobSpec
from .states import Adjacency
from .worker_api import WorkerDescription

_STRICTEST_LAST = (Adjacency.DOMAIN, Adjacency.RACK, Adjacency.WORKER)


class GuaranteeSlot(msgspec.Struct, eq=False):
    """One instance of a guaranteed shape, and how much of it is in use."""

    name: str
    accelerators: int
    adjacency: Adjacency
    # Indices of the racks that the organisation may use.
    racks: frozenset[int]
    # Any domain may provide it. Slots that name this domain are placed first.
    is_any_domain: bool = False
    used: int = 0
    # Indices of where the gangs in the slot run; -1 if not bound yet.
    rack: int = -1
    worker: int = -1
    # Where the unused part is kept free; None if it is empty or does not fit.
    unused_placement: BlockPlacement | None = None

    @property
    def unused(self) -> int:
        """Return the number of accelerators that are not in use."""
        return max(self.accelerators - self.used, 0)


def build_slots(
    contract: Contract,
    domain: DomainName,
    shapes: Iterable[GuaranteedShape],
    racks: Sequence[RackId],
) -> Iterator[GuaranteeSlot]:
    """Yield the slots for ``shapes``, one for each count, in ``domain``.

    ``racks`` are the names of the domain's racks. Yields nothing when the
    domain is hidden from the organisation.
    """
    if domain in contract.hidden_domains:
        return
    visible_racks = frozenset(
        nth
        for nth, name in enumerate(racks)
        if name not in contract.hidden_racks
    )
    counts: dict[str, int] = defaultdict(int)
    for shape in shapes:
        where = shape.domain or 'any'
        key = f'{shape.accelerators}/{shape.adjacency.value}/{where}'
        for _ in range(shape.count):
            counts[key] += 1
            yield GuaranteeSlot(
                name=f'{key}#{counts[key]}',
                accelerators=shape.accelerators,
                adjacency=shape.adjacency,
                racks=visible_racks,
                is_any_domain=shape.domain is None,
            )


def find_matching_slots(
    slots: Iterable[GuaranteeSlot], accelerators: int, adjacency: Adjacency
) -> list[GuaranteeSlot]:
    """Return the slots with ``accelerators`` unused, the best match first."""
    return sorted(
        (slot for slot in slots if slot.unused >= accelerators),
        key=lambda slot: (
            _strictness(slot.adjacency) < _strictness(adjacency),
            slot.unused,
            _strictness(slot.adjacency),
            slot.name,
        ),
    )


def usable_accelerators(free: FreeCapacity, worker: WorkerDescription) -> int:
    """Return the free accelerators that also have free cores and memory.

    Each accelerator needs its equal share of the worker's cores and memory.
    """
    if not worker.accelerators:
        return 0
    by_cores = free.cores * worker.accelerators // max(worker.cores, 1)
    by_memory = free.memory_mb * worker.accelerators // max(worker.memory_mb, 1)
    return max(min(free.accelerators, by_cores, by_memory), 0)


def effective_accelerators_on(
    spec: JobSpec, worker: WorkerDescription | None
) -> int:
    """Return the size of a gang in accelerators of a worker like ``worker``.

    A gang that needs more cores or memory than the equal share of its
    accelerators counts as correspondingly more accelerators.
    """
    if worker is None or not worker.accelerators:
        return spec.accelerators
    cores = spec.tasks * spec.cores_per_task * worker.accelerators
    memory_mb = spec.tasks * spec.memory_mb_per_task * worker.accelerators
    return max(
        spec.accelerators,
        _ceil_div(cores, worker.cores),
        _ceil_div(memory_mb, worker.memory_mb),
    )


def subtract_share(
    free: FreeCapacity, worker: WorkerDescription, accelerators: int
) -> FreeCapacity:
    """Return ``free`` less accelerators and their share of cores and memory."""
    remaining = free.copy()
    remaining.accelerators -= accelerators
    remaining.cores -= _ceil_div(
        accelerators * worker.cores, worker.accelerators
    )
    remaining.memory_mb -= _ceil_div(
        accelerators * worker.memory_mb, worker.accelerators
    )
    return remaining


def _ceil_div(amount: int, divisor: int) -> int:
    return (amount + divisor - 1) // max(divisor, 1)


def _strictness(adjacency: Adjacency) -> int:
    return _STRICTEST_LAST.index(adjacency)
