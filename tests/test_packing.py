from itertools import product

import pytest
from hypothesis import event, given, settings, target
from hypothesis import strategies as st

from bulrushcove.block_packing import Block, new_rack, pack, pack_greedily
from bulrushcove.contract import GuaranteedShape
from bulrushcove.guarantee_check import check_guarantees
from bulrushcove.states import Adjacency, DomainState
from tests.snapshot_builders import contract, describe

WORKER, RACK, DOMAIN = Adjacency.WORKER, Adjacency.RACK, Adjacency.DOMAIN


def workers_of(sizes, domain='north'):
    """Return workers from a list of racks, each a list of sizes."""
    return [
        describe(f'{domain}-{rack}-{index}', f'{domain}-{rack}', domain, size)
        for rack, rack_sizes in enumerate(sizes)
        for index, size in enumerate(rack_sizes)
    ]


def problems_of(contracts, workers, domains=None):
    by_organisation = {
        agreed_contract.organisation: agreed_contract
        for agreed_contract in contracts
    }
    states = {worker.domain: DomainState.IN_SERVICE for worker in workers}
    return check_guarantees(
        by_organisation, workers, {**states, **(domains or {})}
    )


def shape(accelerators, adjacency=DOMAIN, domain=None, count=1):
    return GuaranteedShape(accelerators, adjacency, domain, count)


@pytest.mark.parametrize(
    ('shapes', 'fits'),
    [
        ([shape(8, WORKER, count=4)], True),
        ([shape(8, WORKER, count=5)], False),
        ([shape(16, RACK, count=2)], True),
        ([shape(17, RACK)], False),
        ([shape(32)], True),
        ([shape(33)], False),
        ([shape(5, WORKER, count=4), shape(6, RACK, count=2)], True),
        ([shape(5, WORKER, count=4), shape(4, WORKER)], False),
        ([shape(1, domain='south')], False),
    ],
)
def test_shapes_pack_into_two_racks_of_two_workers(shapes, fits):
    workers = workers_of([[8, 8], [8, 8]])
    problems = problems_of([contract(guaranteed=shapes)], workers)
    assert bool(problems) is not fits


def test_problem_text_names_what_does_not_fit():
    problems = problems_of(
        [contract('mill', [shape(9, WORKER, 'north')])],
        workers_of([[8, 8]]),
    )
    assert problems == [
        'organisation mill: 1 of 1 shapes of 9 accelerators on one worker '
        'in domain north do not fit'
    ]


def test_guarantees_hold_after_the_loss_of_the_spare():
    workers = workers_of([[8]], 'north') + workers_of([[8]], 'south')
    agreed = contract(guaranteed=[shape(8, WORKER)], spare_domain='south')
    other = contract('shop', [shape(8, WORKER)])
    assert not problems_of([agreed], workers)
    problems = problems_of([agreed, other], workers)
    assert len(problems) == 1
    assert 'after the loss of domain south' in problems[0]


def test_domain_out_of_service_serves_nothing():
    workers = workers_of([[8]], 'north') + workers_of([[8]], 'south')
    agreed = contract(guaranteed=[shape(8, WORKER, count=2)])
    out = {'south': DomainState.OUT_OF_SERVICE}
    assert not problems_of([agreed], workers)
    assert problems_of([agreed], workers, out)


@pytest.mark.parametrize(
    'hidden', [{'hidden_domains': ('north',)}, {'hidden_racks': ('north-0',)}]
)
def test_hidden_domains_and_racks_serve_nothing(hidden):
    agreed = contract(guaranteed=[shape(8, WORKER)], **hidden)
    assert problems_of([agreed], workers_of([[8]]))


def test_shapes_of_many_organisations_pack():
    workers = workers_of(((8,) * 8,) * 90)
    agreed = [
        contract(
            f'org-{index}',
            [shape(8, WORKER, count=2), shape(32, RACK), shape(15)],
        )
        for index in range(86)
    ]
    assert not problems_of(agreed, workers)


blocks_strategy = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.sampled_from(Adjacency),
        st.frozensets(st.integers(0, 2), min_size=1),
    ),
    min_size=1,
    max_size=4,
)
racks_strategy = st.lists(
    st.tuples(
        st.sampled_from(['north', 'south']),
        st.lists(st.integers(0, 4), min_size=1, max_size=2),
    ),
    min_size=3,
    max_size=3,
)


def exhaustive_packs(blocks, racks):
    """Return whether the blocks fit, by trying all combinations of groups."""
    workers = [
        (rack.rack, rack.domain, index, worker, left)
        for index, rack in enumerate(racks)
        for left, worker in rack.workers
    ]
    choices = []
    for block in blocks:
        allowed = [
            candidate for candidate in workers if candidate[2] in block.racks
        ]
        groups = {
            WORKER: {(candidate,) for candidate in allowed},
            RACK: {
                tuple(
                    candidate for candidate in allowed if candidate[0] == rack
                )
                for rack in sorted({candidate[0] for candidate in allowed})
            },
            DOMAIN: {
                tuple(
                    candidate for candidate in allowed if candidate[1] == domain
                )
                for domain in sorted({candidate[1] for candidate in allowed})
            },
        }
        choices.append(sorted(groups[block.adjacency]))
    sizes = [block.accelerators for block in blocks]
    return any(
        _satisfies_hall_condition(sizes, choice) for choice in product(*choices)
    )


def _satisfies_hall_condition(sizes, groups):
    """Return whether no subset of blocks exceeds the workers of its groups."""
    subsets = product([False, True], repeat=len(sizes))
    for chosen in subsets:
        subset = [index for index, is_chosen in enumerate(chosen) if is_chosen]
        wanted = sum(sizes[index] for index in subset)
        union = {worker for index in subset for worker in groups[index]}
        if wanted > sum(worker[4] for worker in union):
            return False
    return True


def make_blocks_and_racks(raw_blocks, raw_racks):
    racks = [
        new_rack(f'r{index}', domain, sizes)
        for index, (domain, sizes) in enumerate(raw_racks)
    ]
    return [Block(*raw) for raw in raw_blocks], racks


@settings(derandomize=True, max_examples=1500, deadline=None)
@given(blocks_strategy, racks_strategy)
def test_search_agrees_with_exhaustive_packing(raw_blocks, raw_racks):
    blocks, racks = make_blocks_and_racks(raw_blocks, raw_racks)
    packing = pack(blocks, racks)
    expected = exhaustive_packs(blocks, racks)
    event(f'packs={expected}')
    target(sum(block.accelerators for block in blocks))
    assert not packing.is_truncated
    assert packing.is_complete is expected


@settings(derandomize=True, max_examples=500, deadline=None)
@given(blocks_strategy, racks_strategy, st.integers(0, 6))
def test_truncated_search_finds_no_false_packing(raw, raw_racks, limit):
    blocks, racks = make_blocks_and_racks(raw, raw_racks)
    packing = pack(blocks, racks, limit)
    if packing.is_complete:
        assert exhaustive_packs(blocks, racks)


def test_greedy_packing_misses_existing_packings():
    """Shows that the comparison above detects a search that is missing."""
    raw_racks = [('north', [10, 10])]
    raw_blocks = [
        (size, WORKER, frozenset((0,))) for size in (5, 4, 4, 3, 2, 2)
    ]
    blocks, racks = make_blocks_and_racks(raw_blocks, raw_racks)
    assert exhaustive_packs(blocks, racks)
    assert not pack_greedily(blocks, racks).is_complete
    assert pack(blocks, racks).is_complete
