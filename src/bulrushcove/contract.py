"""Contracts: the guarantees and limits of organisations.

Every limit on an organisation is derived from its contract.
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
    """Accelerators that are always available, by preemption if needed."""

    accelerators: PositiveCount
    adjacency: Adjacency = Adjacency.DOMAIN
    # None: any one domain may provide the shape.
    domain: DomainName | None = None
    count: PositiveCount = 1


class RequestLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests that are answered on the caller's connection.

    Both limits apply to all entry VMs together.
    """

    max_in_progress: PositiveCount = 64
    max_queued: Count = 256


class JobLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on queued and running jobs."""

    max_queued: Count = 1000
    max_borrowed_accelerators: Count = 1_000_000


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Guarantees and limits of one organisation."""

    organisation: OrganisationId
    token_sha256: tuple[Sha256Hex, ...]
    guaranteed: tuple[GuaranteedShape, ...] = ()
    requests: RequestLimits = RequestLimits()
    jobs: JobLimits = JobLimits()
    # Urgent requests go first up to this share of ``requests.max_in_progress``;
    # urgent jobs preempt borrowed work up to this share of the guarantee.
    urgent_share_percent: Percent = 50
    hidden_domains: tuple[DomainName, ...] = ()
    hidden_racks: tuple[RackId, ...] = ()
    # The guarantee must also hold after the loss of this domain.
    spare_domain: DomainName | None = None
