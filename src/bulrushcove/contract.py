"""Contracts: what one organisation is guaranteed and limited to.

Every limit that an organisation lives under is derived from its contract.
"""

from typing import Annotated

import msgspec

from .ids import DomainName, OrganisationId, RackId
from .states import Adjacency

MAX_PERCENT = 100

Count = Annotated[
    int,
    msgspec.Meta(ge=0, description='a whole number, 0 or more'),
]
PositiveCount = Annotated[
    int,
    msgspec.Meta(ge=1, description='a whole number, 1 or more'),
]
Percent = Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_PERCENT, description=f'0 to {MAX_PERCENT}'),
]
Sha256Hex = Annotated[
    str,
    msgspec.Meta(
        pattern='^[0-9a-f]{64}$',
        description='64 lower-case hexadecimal digits',
    ),
]


class GuaranteedShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Accelerators that can always be reclaimed for the organisation."""

    accelerators: PositiveCount
    adjacency: Adjacency = Adjacency.DOMAIN
    # None: the shape may be met in any one domain.
    domain: DomainName | None = None
    count: PositiveCount = 1


class RequestLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests answered on the caller's connection.

    Both limits count over all entry VMs together.
    """

    max_in_progress: PositiveCount = 64
    max_queued: Count = 256


class JobLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on jobs that wait or run."""

    max_queued: Count = 1000
    max_borrowed_accelerators: Count = 1_000_000


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything agreed with one organisation."""

    organisation: OrganisationId
    token_sha256: tuple[Sha256Hex, ...]
    guaranteed: tuple[GuaranteedShape, ...] = ()
    requests: RequestLimits = RequestLimits()
    jobs: JobLimits = JobLimits()
    urgent_share_percent: Percent = 50
    hidden_domains: tuple[DomainName, ...] = ()
    hidden_racks: tuple[RackId, ...] = ()
    # The guarantee must also hold after the loss of this domain.
    spare_domain: DomainName | None = None
