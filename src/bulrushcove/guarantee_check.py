"""Checks that the guarantees of all contracts can be honoured together."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping, Sequence

import msgspec

from .block_packing import Block, Packing, Rack, new_rack, pack
from .contract import Contract, GuaranteedShape
from .ids import DomainName, OrganisationId
from .states import Adjacency, DomainState
from .worker_api import WorkerDescription


class _Wanted(msgspec.Struct, frozen=True):
    """A block and the promise that it stands for."""

    block: Block
    organisation: OrganisationId
    shape: GuaranteedShape


def check_guarantees(
    contracts: Mapping[OrganisationId, Contract],
    workers: Sequence[WorkerDescription],
    domains: Mapping[DomainName, DomainState],
) -> list[str]:
    """Return why the guarantees do not all hold; empty when they do.

    All guaranteed shapes must pack into the workers of the domains in
    service, and again after the loss of any one domain that a contract names
    as its spare. A domain that ``domains`` does not name serves nothing. An
    answer is empty only when a packing was found; in large and tight cases
    the search is bounded and may miss one.
    """
    agreed = [contracts[name] for name in sorted(contracts)]
    serving = {
        worker.domain
        for worker in workers
        if domains.get(worker.domain) is DomainState.IN
    }
    problems = _packing_problems(agreed, workers, serving, lost=None)
    spares = {contract.spare_domain for contract in agreed} & serving
    for spare in sorted(name for name in spares if name is not None):
        problems.extend(
            problem
            for problem in _packing_problems(
                agreed, workers, serving - {spare}, lost=spare
            )
            if problem not in problems
        )
    return problems


def describe_shape(shape: GuaranteedShape) -> str:
    """Return the shape in words."""
    noun = 'accelerator' if shape.accelerators == 1 else 'accelerators'
    place = 'on' if shape.adjacency is Adjacency.WORKER else 'in'
    return f'{shape.accelerators} {noun} {place} one {shape.adjacency.value}'


def _packing_problems(
    contracts: Sequence[Contract],
    workers: Sequence[WorkerDescription],
    serving: Collection[DomainName],
    lost: DomainName | None,
) -> list[str]:
    racks = _empty_racks(workers, serving)
    wanted = [
        each
        for contract in contracts
        for each in _wanted_blocks(contract, racks, lost)
    ]
    packing = pack([each.block for each in wanted], racks)
    loss = f' after the loss of domain {lost}' if lost else ''
    return list(_describe_misfits(wanted, packing, loss))


def _empty_racks(
    workers: Sequence[WorkerDescription],
    serving: Collection[DomainName],
) -> list[Rack]:
    free = defaultdict(list)
    for worker in workers:
        if worker.domain in serving:
            free[worker.domain, worker.rack].append(worker.accelerators)
    return [
        new_rack(rack, domain, counts)
        for (domain, rack), counts in sorted(free.items())
    ]


def _wanted_blocks(
    contract: Contract,
    racks: Sequence[Rack],
    lost: DomainName | None,
) -> Iterator[_Wanted]:
    for shape in contract.guaranteed:
        if lost and shape.domain == lost and contract.spare_domain != lost:
            # Promised in that domain alone, without a spare.
            continue
        block = Block(
            accelerators=shape.accelerators,
            adjacency=shape.adjacency,
            racks=_serving_racks(contract, shape, racks),
        )
        wanted = _Wanted(block, contract.organisation, shape)
        yield from (wanted for _ in range(shape.count))


def _serving_racks(
    contract: Contract,
    shape: GuaranteedShape,
    racks: Sequence[Rack],
) -> frozenset[int]:
    return frozenset(
        index
        for index, rack in enumerate(racks)
        if shape.domain in {None, rack.domain}
        and rack.domain not in contract.hidden_domains
        and rack.rack not in contract.hidden_racks
    )


def _describe_misfits(
    wanted: Sequence[_Wanted],
    packing: Packing,
    loss: str,
) -> Iterator[str]:
    missing: dict[tuple[OrganisationId, GuaranteedShape], int] = defaultdict(
        int
    )
    for each, placement in zip(wanted, packing.placements, strict=True):
        if placement is None:
            missing[each.organisation, each.shape] += 1
    search = ' (search was cut short)' if packing.is_truncated else ''
    for (organisation, shape), count in missing.items():
        where = f'domain {shape.domain}' if shape.domain else 'any domain'
        yield (
            f'organisation {organisation}: {count} of {shape.count} shapes '
            f'of {describe_shape(shape)} in {where} do not fit'
            f'{loss}{search}'
        )
