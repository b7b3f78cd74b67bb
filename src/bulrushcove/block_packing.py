"""Packs blocks of adjacent accelerators into racks of workers.

A block on one worker needs its accelerators on a single worker; a block in
one rack or one domain may be split over the workers there. So a rack holds a
set of blocks exactly when its worker blocks fit into its workers one by one
and the sum of all its blocks does not exceed its accelerators.
"""

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

import msgspec

from .ids import DomainName, RackId
from .split_feasibility import fits_split
from .states import Adjacency

# Racks looked at by one search; more would hold the loop for too long.
SEARCH_WORK = 16_000

# Free accelerators of a worker and its index in the rack.
FreeWorker = tuple[int, int]
Candidate = tuple[tuple[int, ...], 'BlockPlacement']


class Rack(msgspec.Struct):
    """Free accelerators of the workers of one rack."""

    rack: RackId
    domain: DomainName
    # What worker blocks have left of each worker, the fullest first.
    workers: list[FreeWorker]
    # What all blocks together have left of the rack.
    spare: int


class Block(msgspec.Struct, frozen=True):
    """Adjacent accelerators that must be kept free somewhere."""

    accelerators: int
    adjacency: Adjacency
    # Indices of the racks that may serve the block.
    racks: frozenset[int]
    # Placed after the others by the greedy packing.
    deferred: bool = False


class BlockPlacement(msgspec.Struct, frozen=True):
    """Where a block lies: a domain, a rack in it, a worker in that."""

    domain: DomainName
    rack: int = -1
    worker: int = -1
    # What the worker had left before.
    left: int = 0


class Packing(msgspec.Struct):
    """Result of a search; ``placements`` has one entry for each block."""

    placements: list[BlockPlacement | None]
    # The search was cut short: not every way was tried.
    is_truncated: bool = False

    @property
    def is_complete(self) -> bool:
        """Return whether every block has its place."""
        return None not in self.placements


def new_rack(rack: RackId, domain: DomainName, free: Sequence[int]) -> Rack:
    """Return a rack whose workers have ``free`` accelerators each."""
    workers = sorted((left, worker) for worker, left in enumerate(free))
    return Rack(rack=rack, domain=domain, workers=workers, spare=sum(free))


def pack_greedily(blocks: Sequence[Block], racks: Sequence[Rack]) -> Packing:
    """Place large blocks first, each where it leaves least; skip misfits."""
    board = _Board(blocks, racks)
    packing = Packing(placements=[None for _ in blocks])
    for index in _large_first(blocks):
        placement = board.best_placement(blocks[index])
        if placement is not None:
            board.take(blocks[index], placement)
        packing.placements[index] = placement
    return packing


def pack(
    blocks: Sequence[Block],
    racks: Sequence[Rack],
    limit: int | None = None,
) -> Packing:
    """Find a place for every block, trying ``limit`` places at most.

    Without a limit the search is bounded by the number of racks it looks at.
    The result is whole only when it is a valid packing. When it is not whole
    and not cut short, there is none.
    """
    greedy = pack_greedily(blocks, racks)
    if greedy.is_complete or _surely_too_much(blocks, racks):
        return greedy
    order = _large_first(blocks)
    board = _Board(blocks, racks)
    most = SEARCH_WORK // len(racks) if limit is None else limit
    placements, is_truncated = _search(
        [blocks[nth] for nth in order], board, most
    )
    if not placements:
        return Packing(placements=greedy.placements, is_truncated=is_truncated)
    packing = Packing(placements=[None for _ in blocks])
    for index, placement in zip(order, placements, strict=True):
        packing.placements[index] = placement
    return packing


def _large_first(blocks: Sequence[Block]) -> list[int]:
    """Order the blocks; those that any split serves come last."""
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


def _surely_too_much(blocks: Sequence[Block], racks: Sequence[Rack]) -> bool:
    if not all(block.racks for block in blocks):
        return True
    wanted = sum(block.accelerators for block in blocks)
    return wanted > sum(rack.spare for rack in racks)


def _search(
    blocks: Sequence[Block],
    board: '_Board',
    limit: int,
) -> tuple[list[BlockPlacement], bool]:
    """Search depth first; return the placements and whether it was cut."""
    chosen: list[BlockPlacement] = []
    seen: set[tuple[object, ...]] = set()
    stack = [iter(board.placements(blocks[0]))]
    tries = 0
    while stack:
        placement = next(stack[-1], None)
        if placement is None:
            stack.pop()
            if chosen:
                board.give_back(blocks[len(chosen) - 1], chosen.pop())
            continue
        tries += 1
        if tries > limit:
            return [], True
        board.take(blocks[len(chosen)], placement)
        chosen.append(placement)
        if len(chosen) == len(blocks):
            return chosen, False
        state = (len(chosen), *board.state())
        stack.append(
            iter(() if state in seen else board.placements(blocks[len(chosen)]))
        )
        seen.add(state)
    return [], False


class _Board:
    """Room of the racks while blocks are placed and taken back."""

    def __init__(self, blocks: Iterable[Block], racks: Iterable[Rack]) -> None:
        self._racks = [
            Rack(rack.rack, rack.domain, list(rack.workers), rack.spare)
            for rack in racks
        ]
        # Racks that serve the same blocks are alike to the search.
        kinds = sorted({tuple(sorted(block.racks)) for block in blocks})
        self._colours = [
            (rack.domain, *(index in kind for kind in kinds))
            for index, rack in enumerate(self._racks)
        ]
        # Accelerators that may be split over all racks of a set.
        self._split: dict[frozenset[int], int] = defaultdict(int)

    def state(self) -> tuple[object, ...]:
        """Return what tells positions of the search apart."""
        racks = sorted(
            self._signature(index) for index in range(len(self._racks))
        )
        return tuple(racks), frozenset(self._split.items())

    def best_placement(self, block: Block) -> BlockPlacement | None:
        """Return the place that leaves the least room round the block."""
        best = min(self._candidates(block), key=_tightness, default=None)
        return None if best is None else best[1]

    def placements(self, block: Block) -> list[BlockPlacement]:
        """Return the unlike places that can take the block, tightest first."""
        placements = []
        tried = set()
        for _, placement in sorted(self._candidates(block), key=_tightness):
            likeness = (
                (placement.domain,)
                if placement.rack < 0
                else (placement.left, *self._signature(placement.rack))
            )
            if likeness not in tried:
                tried.add(likeness)
                placements.append(placement)
        return placements

    def take(self, block: Block, placement: BlockPlacement) -> None:
        """Place the block."""
        if placement.rack < 0:
            self._split[self._racks_in(block, placement.domain)] += (
                block.accelerators
            )
            return
        rack = self._racks[placement.rack]
        rack.spare -= block.accelerators
        if placement.worker >= 0:
            rack.workers.remove((placement.left, placement.worker))
            insort(
                rack.workers,
                (placement.left - block.accelerators, placement.worker),
            )

    def give_back(self, block: Block, placement: BlockPlacement) -> None:
        """Undo a placement."""
        if placement.rack < 0:
            self._split[self._racks_in(block, placement.domain)] -= (
                block.accelerators
            )
            return
        rack = self._racks[placement.rack]
        rack.spare += block.accelerators
        if placement.worker >= 0:
            rack.workers.remove(
                (placement.left - block.accelerators, placement.worker)
            )
            insort(rack.workers, (placement.left, placement.worker))

    def _signature(self, index: int) -> tuple[object, ...]:
        rack = self._racks[index]
        lefts = tuple(left for left, _ in rack.workers)
        return self._colours[index], rack.spare, lefts

    def _candidates(self, block: Block) -> Iterator[Candidate]:
        if block.adjacency is Adjacency.DOMAIN:
            yield from self._domain_candidates(block)
            return
        for index in block.racks:
            rack = self._racks[index]
            if rack.spare < block.accelerators:
                continue
            if block.adjacency is Adjacency.RACK:
                yield (rack.spare, index), BlockPlacement(rack.domain, index)
            else:
                yield from self._worker_candidates(block, index, rack)

    def _worker_candidates(
        self, block: Block, index: int, rack: Rack
    ) -> Iterator[Candidate]:
        position = bisect_left(rack.workers, (block.accelerators, 0))
        last_left = 0
        for left, worker in rack.workers[position:]:
            if left != last_left:
                last_left = left
                yield (
                    (left, rack.spare, index),
                    BlockPlacement(rack.domain, index, worker, left),
                )

    def _domain_candidates(self, block: Block) -> Iterator[Candidate]:
        domains = {self._racks[index].domain for index in block.racks}
        for domain in sorted(domains):
            racks = self._racks_in(block, domain)
            spare = sum(self._racks[index].spare for index in racks)
            self._split[racks] += block.accelerators
            if self._split_fits():
                yield (spare,), BlockPlacement(domain)
            self._split[racks] -= block.accelerators

    def _racks_in(self, block: Block, domain: DomainName) -> frozenset[int]:
        return frozenset(
            index
            for index in block.racks
            if self._racks[index].domain == domain
        )

    def _split_fits(self) -> bool:
        wants = {racks: want for racks, want in self._split.items() if want}
        reached = frozenset().union(*wants)
        spare = {index: self._racks[index].spare for index in reached}
        if sum(wants.values()) > sum(spare.values()):
            return False
        return len(wants) == 1 or fits_split(wants, spare)


def _tightness(candidate: Candidate) -> tuple[int, ...]:
    return candidate[0]
