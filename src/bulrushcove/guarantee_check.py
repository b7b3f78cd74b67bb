"""Checks whether the guarantees of all contracts fit into the workers."""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping, Sequence

import msgspec

from .block_packing import Block, Packing, Rack, new_rack, pack
from .contract import Contract, GuaranteedShape
from .ids import DomainName, OrganisationId
from .states import Adjacency, DomainState
from .worker_api import WorkerDescription


class _GuaranteedBlock(msgspec.Struct, frozen=True):
    """A block to pack and the guaranteed shape that it belongs to."""

    block: Block
    organisation: OrganisationId
    shape: GuaranteedShape


def check_guarantees(
    contracts: Mapping[OrganisationId, Contract],
    workers: Sequence[WorkerDescription],
    domains: Mapping[DomainName, DomainState],
) -> list[str]:
    """Return a description of each guarantee that cannot be met.

    All guaranteed shapes must pack into the workers of the domains in
    service, and again after the loss of any one domain that a contract names
    as its spare. A domain that is missing from ``domains`` counts as out of
    service. The list is empty only when a packing was found. The search is
    bounded, so in large and tight cases it may miss a packing that exists.
    """
    sorted_contracts = [contracts[name] for name in sorted(contracts)]
    in_service = {
        worker.domain
        for worker in workers
        if domains.get(worker.domain) is DomainState.IN_SERVICE
    }
    problems = _packing_problems(
        sorted_contracts, workers, in_service, lost_domain=None
    )
    spares = {
        contract.spare_domain for contract in sorted_contracts
    } & in_service
    for spare in sorted(name for name in spares if name is not None):
        problems.extend(
            problem
            for problem in _packing_problems(
                sorted_contracts,
                workers,
                in_service - {spare},
                lost_domain=spare,
            )
            if problem not in problems
        )
    return problems


def describe_shape(shape: GuaranteedShape) -> str:
    """Return a description of the shape for operators."""
    noun = 'accelerator' if shape.accelerators == 1 else 'accelerators'
    place = 'on' if shape.adjacency is Adjacency.WORKER else 'in'
    return f'{shape.accelerators} {noun} {place} one {shape.adjacency.value}'


def _packing_problems(
    contracts: Sequence[Contract],
    workers: Sequence[WorkerDescription],
    in_service: Collection[DomainName],
    lost_domain: DomainName | None,
) -> list[str]:
    racks = _empty_racks(workers, in_service)
    blocks = [
        block
        for contract in contracts
        for block in _guaranteed_blocks(contract, racks, lost_domain)
    ]
    packing = pack([guaranteed.block for guaranteed in blocks], racks)
    loss = f' after the loss of domain {lost_domain}' if lost_domain else ''
    return list(_describe_unplaced(blocks, packing, loss))


def _empty_racks(
    workers: Sequence[WorkerDescription],
    in_service: Collection[DomainName],
) -> list[Rack]:
    free = defaultdict(list)
    for worker in workers:
        if worker.domain in in_service:
            free[worker.domain, worker.rack].append(worker.accelerators)
    return [
        new_rack(rack, domain, counts)
        for (domain, rack), counts in sorted(free.items())
    ]


def _guaranteed_blocks(
    contract: Contract,
    racks: Sequence[Rack],
    lost_domain: DomainName | None,
) -> Iterator[_GuaranteedBlock]:
    for shape in contract.guaranteed:
        if (
            lost_domain
            and shape.domain == lost_domain
            and contract.spare_domain != lost_domain
        ):
            # The contract does not promise to survive the loss of this domain.
            continue
        block = Block(
            accelerators=shape.accelerators,
            adjacency=shape.adjacency,
            racks=_allowed_racks(contract, shape, racks),
        )
        guaranteed = _GuaranteedBlock(block, contract.organisation, shape)
        yield from (guaranteed for _ in range(shape.count))


def _allowed_racks(
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


def _describe_unplaced(
    blocks: Sequence[_GuaranteedBlock],
    packing: Packing,
    loss: str,
) -> Iterator[str]:
    missing: dict[tuple[OrganisationId, GuaranteedShape], int] = defaultdict(
        int
    )
    for guaranteed, placement in zip(blocks, packing.placements, strict=True):
        if placement is None:
            missing[guaranteed.organisation, guaranteed.shape] += 1
    search = ' (search was cut short)' if packing.is_truncated else ''
    for (organisation, shape), count in missing.items():
        where = f'domain {shape.domain}' if shape.domain else 'any domain'
        yield (
            f'organisation {organisation}: {count} of {shape.count} shapes '
            f'of {describe_shape(shape)} in {where} do not fit'
            f'{loss}{search}'
        )
