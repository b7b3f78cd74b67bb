"""Packs blocks of adjacent accelerators into racks of workers.

A block with worker adjacency must fit on a single worker. A block with rack
or domain adjacency may be split over the workers of that rack or domain.
A set of blocks therefore fits into a rack exactly when its worker blocks fit
on single workers and all its blocks together do not exceed the free
accelerators of the rack.
"""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from .ids import DomainName, RackId
from .split_flow import can_satisfy
from .states import Adjacency

# Limits the racks that one search examines, as a longer search would block
# the event loop for too long.
MAX_RACK_VISITS = 16_000

# Free accelerators of a worker, and the worker's index in the rack.
FreeWorker = tuple[int, int]
Candidate = tuple[tuple[int, ...], 'BlockPlacement']


class Rack(msgspec.Struct):
    """Free accelerators of the workers of one rack."""

    rack: RackId
    domain: DomainName
    # Free after the worker blocks are placed, in ascending order.
    workers: list[FreeWorker]
    # Free after all blocks are placed.
    free: int


class Block(msgspec.Struct, frozen=True):
    """A request for adjacent accelerators in one of several racks."""

    accelerators: int
    adjacency: Adjacency
    # Indices of the racks that the block may be placed in.
    racks: frozenset[int]
    # Placed after all blocks that are not deferred.
    deferred: bool = False


class BlockPlacement(msgspec.Struct, frozen=True):
    """Where a block is placed.

    ``rack`` and ``worker`` are indices; -1 means that the block may be split
    over all racks of the domain or all workers of the rack.
    """

    domain: DomainName
    rack: int = -1
    worker: int = -1
    # Free accelerators of the worker before the block was placed.
    free_before: int = 0


class Packing(msgspec.Struct):
    """Result of a search, with one entry of ``placements`` per block."""

    placements: list[BlockPlacement | None]
    # The search reached its limit before it had tried every packing.
    is_truncated: bool = False

    @property
    def is_complete(self) -> bool:
        """Return whether every block is placed."""
        return None not in self.placements


def new_rack(rack: RackId, domain: DomainName, free: Sequence[int]) -> Rack:
    """Return a rack whose workers have ``free`` accelerators each."""
    workers = sorted((count, worker) for worker, count in enumerate(free))
    return Rack(rack=rack, domain=domain, workers=workers, free=sum(free))


def pack_greedily(blocks: Sequence[Block], racks: Sequence[Rack]) -> Packing:
    """Pack by best fit, the largest blocks first.

    A block that fits nowhere is skipped and has None as its placement.
    """
    partial = _PartialPacking(blocks, racks)
    packing = Packing(placements=[None for _ in blocks])
    for index in _search_order(blocks):
        placement = partial.best_placement(blocks[index])
        if placement is not None:
            partial.place(blocks[index], placement)
        packing.placements[index] = placement
    return packing


def pack(
    blocks: Sequence[Block],
    racks: Sequence[Rack],
    limit: int | None = None,
) -> Packing:
    """Find a placement for every block in at most ``limit`` attempts.

    Without a limit the search is bounded by ``MAX_RACK_VISITS``. A complete
    result is a valid packing. A result that is neither complete nor
    truncated means that no valid packing exists.
    """
    greedy = pack_greedily(blocks, racks)
    if greedy.is_complete or _is_clearly_infeasible(blocks, racks):
        return greedy
    order = _search_order(blocks)
    partial = _PartialPacking(blocks, racks)
    max_tries = MAX_RACK_VISITS // len(racks) if limit is None else limit
    placements, is_truncated = _search(
        [blocks[nth] for nth in order], partial, max_tries
    )
    if not placements:
        return Packing(placements=greedy.placements, is_truncated=is_truncated)
    packing = Packing(placements=[None for _ in blocks])
    for index, placement in zip(order, placements, strict=True):
        packing.placements[index] = placement
    return packing


def _search_order(blocks: Sequence[Block]) -> list[int]:
    """Return the indices of the blocks in the order of the search.

    Deferred blocks come last, and before them those that may be split over a
    whole domain.
    """
    return sorted(
        range(len(blocks)),
        key=lambda index: (
            blocks[index].deferred,
            blocks[index].adjacency is Adjacency.DOMAIN,
            -blocks[index].accelerators,
            len(blocks[index].racks),
            blocks[index].adjacency is Adjacency.WORKER,
        ),
    )


def _is_clearly_infeasible(
    blocks: Sequence[Block], racks: Sequence[Rack]
) -> bool:
    if not all(block.racks for block in blocks):
        return True
    wanted = sum(block.accelerators for block in blocks)
    return wanted > sum(rack.free for rack in racks)


def _search(
    blocks: Sequence[Block],
    partial: '_PartialPacking',
    limit: int,
) -> tuple[list[BlockPlacement], bool]:
    """Search depth first for a placement of every block.

    Returns the placements, empty if none were found, and whether the search
    was truncated.
    """
    chosen: list[BlockPlacement] = []
    seen_states: set[tuple[object, ...]] = set()
    stack = [iter(partial.placements(blocks[0]))]
    tried_count = 0
    while stack:
        placement = next(stack[-1], None)
        if placement is None:
            stack.pop()
            if chosen:
                partial.undo_place(blocks[len(chosen) - 1], chosen.pop())
            continue
        tried_count += 1
        if tried_count > limit:
            return [], True
        partial.place(blocks[len(chosen)], placement)
        chosen.append(placement)
        if len(chosen) == len(blocks):
            return chosen, False
        state_key = (len(chosen), *partial.fingerprint())
        stack.append(
            iter(
                ()
                if state_key in seen_states
                else partial.placements(blocks[len(chosen)])
            )
        )
        seen_states.add(state_key)
    return [], False


class _PartialPacking:
    """Free accelerators of the racks while the search places blocks."""

    def __init__(self, blocks: Iterable[Block], racks: Iterable[Rack]) -> None:
        self._racks = [
            Rack(rack.rack, rack.domain, list(rack.workers), rack.free)
            for rack in racks
        ]
        # Racks of a domain that accept the same blocks are interchangeable.
        rack_sets = sorted({tuple(sorted(block.racks)) for block in blocks})
        self._rack_classes = [
            (rack.domain, *(index in rack_set for rack_set in rack_sets))
            for index, rack in enumerate(self._racks)
        ]
        # Accelerators placed in a domain, by the racks that may provide them.
        self._split_demands: dict[frozenset[int], int] = defaultdict(int)

    def fingerprint(self) -> tuple[object, ...]:
        """Return a key that is equal for equivalent partial packings."""
        racks = sorted(
            self._rack_key(index) for index in range(len(self._racks))
        )
        return tuple(racks), frozenset(self._split_demands.items())

    def best_placement(self, block: Block) -> BlockPlacement | None:
        """Return the placement that leaves the least free, or None."""
        best = min(self._candidates(block), key=_tightness, default=None)
        return None if best is None else best[1]

    def placements(self, block: Block) -> list[BlockPlacement]:
        """Return the placements of the block, the tightest first.

        Of equivalent placements only one is returned.
        """
        placements = []
        tried = set()
        for _, placement in sorted(self._candidates(block), key=_tightness):
            equivalence_key = (
                (placement.domain,)
                if placement.rack < 0
                else (placement.free_before, *self._rack_key(placement.rack))
            )
            if equivalence_key not in tried:
                tried.add(equivalence_key)
                placements.append(placement)
        return placements

    def place(self, block: Block, placement: BlockPlacement) -> None:
        """Subtract the block from the free accelerators."""
        if placement.rack < 0:
            self._split_demands[self._racks_in(block, placement.domain)] += (
                block.accelerators
            )
            return
        rack = self._racks[placement.rack]
        rack.free -= block.accelerators
        if placement.worker >= 0:
            rack.workers.remove((placement.free_before, placement.worker))
            insort(
                rack.workers,
                (placement.free_before - block.accelerators, placement.worker),
            )

    def undo_place(self, block: Block, placement: BlockPlacement) -> None:
        """Undo ``place``."""
        if placement.rack < 0:
            self._split_demands[self._racks_in(block, placement.domain)] -= (
                block.accelerators
            )
            return
        rack = self._racks[placement.rack]
        rack.free += block.accelerators
        if placement.worker >= 0:
            rack.workers.remove(
                (placement.free_before - block.accelerators, placement.worker)
            )
            insort(rack.workers, (placement.free_before, placement.worker))

    def _rack_key(self, index: int) -> tuple[object, ...]:
        rack = self._racks[index]
        free_counts = tuple(free for free, _ in rack.workers)
        return self._rack_classes[index], rack.free, free_counts

    def _candidates(self, block: Block) -> Iterator[Candidate]:
        if block.adjacency is Adjacency.DOMAIN:
            yield from self._domain_candidates(block)
            return
        for index in block.racks:
            rack = self._racks[index]
            if rack.free < block.accelerators:
                continue
            if block.adjacency is Adjacency.RACK:
                yield (rack.free, index), BlockPlacement(rack.domain, index)
            else:
                yield from self._worker_candidates(block, index, rack)

    def _worker_candidates(
        self, block: Block, index: int, rack: Rack
    ) -> Iterator[Candidate]:
        position = bisect_left(rack.workers, (block.accelerators, 0))
        last_free = 0
        for free, worker in rack.workers[position:]:
            if free != last_free:
                last_free = free
                yield (
                    (free, rack.free, index),
                    BlockPlacement(rack.domain, index, worker, free),
                )

    def _domain_candidates(self, block: Block) -> Iterator[Candidate]:
        domains = {self._racks[index].domain for index in block.racks}
        for domain in sorted(domains):
            racks = self._racks_in(block, domain)
            free = sum(self._racks[index].free for index in racks)
            self._split_demands[racks] += block.accelerators
            if self._split_demands_fit():
                yield (free,), BlockPlacement(domain)
            self._split_demands[racks] -= block.accelerators

    def _racks_in(self, block: Block, domain: DomainName) -> frozenset[int]:
        return frozenset(
            index
            for index in block.racks
            if self._racks[index].domain == domain
        )

    def _split_demands_fit(self) -> bool:
        demands = {
            racks: demand
            for racks, demand in self._split_demands.items()
            if demand
        }
        rack_indices = frozenset().union(*demands)
        free_by_rack = {
            index: self._racks[index].free for index in rack_indices
        }
        if sum(demands.values()) > sum(free_by_rack.values()):
            return False
        return len(demands) == 1 or can_satisfy(demands, free_by_rack)


def _tightness(candidate: Candidate) -> tuple[int, ...]:
    return candidate[0]
