"""Organisations of the demo with their tokens and contracts."""

import hashlib

import msgspec

from bulrushcove.contract import Contract, GuaranteedShape, RequestLimits
from bulrushcove.ids import DomainName, OrganisationId
from bulrushcove.states import Adjacency

# The contracts must also be met after the loss of this failure domain.
SPARE_DOMAIN = DomainName('Guichón')


class Organisation(msgspec.Struct, frozen=True):
    """One organisation and the token of its callers."""

    organisation: OrganisationId
    token: str
    guaranteed: tuple[GuaranteedShape, ...]

    @property
    def contract(self) -> Contract:
        """Return the contract that operators apply."""
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        return Contract(
            organisation=self.organisation,
            token_sha256=(digest,),
            guaranteed=self.guaranteed,
            requests=RequestLimits(max_in_progress=64, max_queued=256),
            spare_domain=SPARE_DOMAIN,
        )


def _new_organisation(name: str, *shapes: GuaranteedShape) -> Organisation:
    return Organisation(
        organisation=OrganisationId(name),
        token=f'token-of-{name}',
        guaranteed=shapes,
    )


ORGANISATIONS = (
    _new_organisation(
        'planta-fray-bentos',
        GuaranteedShape(accelerators=16, adjacency=Adjacency.RACK),
    ),
    _new_organisation(
        'planta-guichon',
        GuaranteedShape(accelerators=8, adjacency=Adjacency.WORKER, count=2),
    ),
    _new_organisation(
        'planta-centenario',
        GuaranteedShape(accelerators=16, adjacency=Adjacency.DOMAIN),
    ),
    _new_organisation(
        'planta-paysandu',
        GuaranteedShape(accelerators=4, adjacency=Adjacency.WORKER),
    ),
)
