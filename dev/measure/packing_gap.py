"""Measures how often the packing search finds a packing that exists."""

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
SIZE = 8


def gap_line(seed: int) -> str:
    """Return how many of the exactly full packings each way finds."""
    rng = random.Random(seed)
    greedy = 0
    searched = 0
    for _ in range(CASES):
        blocks = _cut_up(rng)
        greedy += pack_greedily(blocks, _racks()).is_complete
        searched += pack(blocks, _racks()).is_complete
    return (
        f'Of {CASES} sets of shapes cut from {RACKS} full racks of {WORKERS} '
        f'workers of {SIZE}, with no room to spare, best fit alone packs '
        f'{greedy} and the bounded search {searched}.'
    )


def _racks() -> list[Rack]:
    return [
        new_rack(
            RackId(f'r{nth}'), DomainName('d'), list(repeat(SIZE, WORKERS))
        )
        for nth in range(RACKS)
    ]


def _cut_up(rng: random.Random) -> list[Block]:
    """Cut each worker in pieces, and join some into shapes of a rack."""
    everywhere = frozenset(range(RACKS))
    blocks = []
    for _ in range(RACKS):
        joined = 0
        for _ in range(WORKERS):
            left = SIZE
            while left:
                piece = rng.randint(1, left)
                left -= piece
                if rng.randrange(10) < 3:
                    joined += piece
                else:
                    blocks.append(Block(piece, Adjacency.WORKER, everywhere))
        if joined:
            blocks.append(Block(joined, Adjacency.RACK, everywhere))
    rng.shuffle(blocks)
    return blocks
