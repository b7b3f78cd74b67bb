"""Claims of non-idempotent request ids; does no I/O.

A claim is a key in the platform's store that an entry VM creates before it
sends any byte of the request. An entry VM that finds the id claimed by another
never runs the request.
"""

from collections.abc import Iterable, Sequence
from enum import Enum, unique

import msgspec

from .ids import IncarnationId, OrganisationId, RequestId, VmId
from .store import (
    CLAIMS_PREFIX,
    StoredValue,
    StoreLeaseId,
    Write,
    WriteAnswer,
)

# The store accepts at most 128 operations in a transaction.
MAX_CLAIMS_PER_TRANSACTION = 64
_encoder = msgspec.msgpack.Encoder()


class ClaimValue(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under the key of a claim."""

    vm: VmId
    incarnation: IncarnationId
    # Unique among the claims of the process.
    number: int
    body_sha256: str


_decoder = msgspec.msgpack.Decoder(ClaimValue)


@unique
class ClaimStatus(Enum):
    """Result of one claim of a batch."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    TAKEN_WITH_OTHER_BODY = 'taken with another body'
    # Not written because another claim of the batch failed.
    RETRY = 'again'


class Claim(msgspec.Struct, frozen=True):
    """A claim to be written to the store."""

    key: str
    value: ClaimValue


class Decision(msgspec.Struct, frozen=True):
    """Status of a claim; ``mod_revision`` is set for a granted one."""

    claim: Claim
    status: ClaimStatus
    mod_revision: int = 0


def claim_key(organisation: OrganisationId, request: RequestId) -> str:
    """Return the store key of the claim."""
    return f'{CLAIMS_PREFIX}{organisation}/{request}'


def claim_writes(
    claims: Iterable[Claim],
    lease: StoreLeaseId,
) -> list[Write]:
    """Return the create-if-absent writes of a transaction."""
    return [
        Write(claim.key, _encoder.encode(claim.value), 0, lease)
        for claim in claims
    ]


def decide_claims(
    claims: Sequence[Claim], response: WriteAnswer
) -> list[Decision]:
    """Return a decision for each claim of a batch.

    A batch is written completely or not at all. If it was not, the claims
    whose keys exist are decided and the others must be retried. A key that
    exists with the same value was written by this process in an earlier
    attempt whose response was lost.
    """
    if response.written:
        return [
            Decision(claim, ClaimStatus.GRANTED, response.store_revision)
            for claim in claims
        ]
    current = {stored.key: stored for stored in response.current}
    return [_decide_one(claim, current.get(claim.key)) for claim in claims]


def _decide_one(claim: Claim, stored: StoredValue | None) -> Decision:
    if stored is None:
        return Decision(claim, ClaimStatus.RETRY)
    try:
        existing = _decoder.decode(stored.value)
    except msgspec.MsgspecError:
        return Decision(claim, ClaimStatus.TAKEN)
    if existing == claim.value:
        return Decision(claim, ClaimStatus.GRANTED, stored.mod_revision)
    own_sha256 = claim.value.body_sha256
    if (
        own_sha256
        and existing.body_sha256
        and own_sha256 != existing.body_sha256
    ):
        return Decision(claim, ClaimStatus.TAKEN_WITH_OTHER_BODY)
    return Decision(claim, ClaimStatus.TAKEN)
