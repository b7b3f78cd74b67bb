"""Measures how often the packing search finds an existing packing."""

import random
from itertools import repeat

from bulrushcove.block_packing import (
    Block,
    Rack,
    new_rack,
    pack,
    pack_greedily,
)
from bulrushcove.ids import DomainName, RackId
from bulrushcove.states import Adjacency

CASES = 500
RACKS = 4
WORKERS = 4
ACCELERATORS = 8


def describe_packing_gap(seed: int) -> str:
    """Return a sentence on how many cases each method packs completely."""
    rng = random.Random(seed)
    greedy = 0
    searched = 0
    for _ in range(CASES):
        blocks = _split_workers(rng)
        greedy += pack_greedily(blocks, _make_racks()).is_complete
        searched += pack(blocks, _make_racks()).is_complete
    return (
        f'Of {CASES} sets of shapes cut from {RACKS} full racks of {WORKERS} '
        f'workers of {ACCELERATORS}, with no accelerator left, best fit alone '
        f'packs {greedy} and the bounded search {searched}.'
    )


def _make_racks() -> list[Rack]:
    return [
        new_rack(
            RackId(f'r{nth}'),
            DomainName('d'),
            list(repeat(ACCELERATORS, WORKERS)),
        )
        for nth in range(RACKS)
    ]


def _split_workers(rng: random.Random) -> list[Block]:
    """Return blocks that fill all workers exactly, in random order.

    Each worker is split at random; some pieces are joined into one block of
    the whole rack.
    """
    all_racks = frozenset(range(RACKS))
    blocks = []
    for _ in range(RACKS):
        rack_block_size = 0
        for _ in range(WORKERS):
            remaining = ACCELERATORS
            while remaining:
                block_size = rng.randint(1, remaining)
                remaining -= block_size
                if rng.randrange(10) < 3:
                    rack_block_size += block_size
                else:
                    blocks.append(
                        Block(block_size, Adjacency.WORKER, all_racks)
                    )
        if rack_block_size:
            blocks.append(Block(rack_block_size, Adjacency.RACK, all_racks))
    rng.shuffle(blocks)
    return blocks
