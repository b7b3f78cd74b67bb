"""Guaranteed shapes as slots that unborrowed gangs use."""

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

_NARROWEST_LAST = (Adjacency.DOMAIN, Adjacency.RACK, Adjacency.WORKER)


class GuaranteeSlot(msgspec.Struct, eq=False):
    """One guaranteed shape and how much of it runs."""

    name: str
    accelerators: int
    adjacency: Adjacency
    # Racks that the organisation may see, by their index.
    racks: frozenset[int]
    # Any one domain may serve it; one bound to this domain goes first.
    movable: bool = False
    used: int = 0
    # Where the gangs that use it run; -1: not bound yet.
    rack: int = -1
    worker: int = -1
    # Where the unused part is kept free; None: nowhere.
    unused_placement: BlockPlacement | None = None

    @property
    def unused(self) -> int:
        """Return the accelerators that are not in use."""
        return max(self.accelerators - self.used, 0)


def build_slots(
    contract: Contract,
    domain: DomainName,
    shapes: Iterable[GuaranteedShape],
    racks: Sequence[RackId],
) -> Iterator[GuaranteeSlot]:
    """Yield a slot for each guaranteed shape met in ``domain``."""
    if domain in contract.hidden_domains:
        return
    seen = frozenset(
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
                racks=seen,
                movable=shape.domain is None,
            )


def find_matching_slots(
    slots: Iterable[GuaranteeSlot], weight: int, wanted: Adjacency
) -> list[GuaranteeSlot]:
    """Return the slots with ``weight`` left, the best match first."""
    return sorted(
        (slot for slot in slots if slot.unused >= weight),
        key=lambda slot: (
            _rank(slot.adjacency) < _rank(wanted),
            slot.unused,
            _rank(slot.adjacency),
            slot.name,
        ),
    )


def usable_accelerators(room: FreeCapacity, worker: WorkerDescription) -> int:
    """Return the accelerators of ``room`` that have their share of the rest.

    An accelerator comes with its share of the cores and memory of a worker.
    """
    if not worker.accelerators:
        return 0
    by_cores = room.cores * worker.accelerators // max(worker.cores, 1)
    by_memory = room.memory_mb * worker.accelerators // max(worker.memory_mb, 1)
    return max(min(room.accelerators, by_cores, by_memory), 0)


def effective_accelerators_on(
    spec: JobSpec, worker: WorkerDescription | None
) -> int:
    """Return what a gang takes in accelerators of ``worker``'s kind.

    A gang that asks for more than the share of cores or memory of its
    accelerators counts as more.
    """
    if worker is None or not worker.accelerators:
        return spec.accelerators
    cores = spec.tasks * spec.cores_per_task * worker.accelerators
    memory_mb = spec.tasks * spec.memory_mb_per_task * worker.accelerators
    return max(
        spec.accelerators,
        _divide_up(cores, worker.cores),
        _divide_up(memory_mb, worker.memory_mb),
    )


def subtract_share(
    room: FreeCapacity, worker: WorkerDescription, kept: int
) -> FreeCapacity:
    """Return ``room`` less ``kept`` accelerators with their share."""
    less = room.copy()
    less.accelerators -= kept
    less.cores -= _divide_up(kept * worker.cores, worker.accelerators)
    less.memory_mb -= _divide_up(kept * worker.memory_mb, worker.accelerators)
    return less


def _divide_up(amount: int, by: int) -> int:
    return (amount + by - 1) // max(by, 1)


def _rank(adjacency: Adjacency) -> int:
    return _NARROWEST_LAST.index(adjacency)
