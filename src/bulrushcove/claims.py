"""Claims of non-idempotent request ids: a core without I/O.

A claim is a key of the platform's store that is created before any byte of
the request leaves. Whoever finds the id claimed by another never runs it.
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

# Puts of one transaction; the service takes 128 operations at most.
MAX_CLAIMS_PER_TRANSACTION = 64
_encoder = msgspec.msgpack.Encoder()


class ClaimValue(msgspec.Struct, frozen=True, array_like=True):
    """What is stored under a claim's key."""

    vm: VmId
    incarnation: IncarnationId
    # Tells this claim from others of the same process.
    number: int
    body_sha256: str


_decoder = msgspec.msgpack.Decoder(ClaimValue)


@unique
class ClaimStatus(Enum):
    """What became of one claim of a batch."""

    GRANTED = 'granted'
    TAKEN = 'taken'
    TAKEN_WITH_OTHER_BODY = 'taken with another body'
    # Another claim of the batch failed; this one may go again.
    AGAIN = 'again'


class Claim(msgspec.Struct, frozen=True):
    """One claim on its way to the store."""

    key: str
    value: ClaimValue


class Decision(msgspec.Struct, frozen=True):
    """Verdict on one claim; the revision is that of a granted one."""

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
    """Return the create-if-absent writes of one transaction."""
    return [
        Write(claim.key, _encoder.encode(claim.value), 0, lease)
        for claim in claims
    ]


def decide(claims: Sequence[Claim], answer: WriteAnswer) -> list[Decision]:
    """Return a decision for each claim of a batch.

    A batch is written whole or not at all; when it is not, the claims that
    stand in its way are decided and the others go again. A claim that stands
    already with the same value is an own one whose answer was lost.
    """
    if answer.written:
        return [
            Decision(claim, ClaimStatus.GRANTED, answer.store_revision)
            for claim in claims
        ]
    current = {stored.key: stored for stored in answer.current}
    return [_decide_one(claim, current.get(claim.key)) for claim in claims]


def _decide_one(claim: Claim, stored: StoredValue | None) -> Decision:
    if stored is None:
        return Decision(claim, ClaimStatus.AGAIN)
    try:
        found = _decoder.decode(stored.value)
    except msgspec.MsgspecError:
        return Decision(claim, ClaimStatus.TAKEN)
    if found == claim.value:
        return Decision(claim, ClaimStatus.GRANTED, stored.mod_revision)
    ours = claim.value.body_sha256
    if ours and found.body_sha256 and ours != found.body_sha256:
        return Decision(claim, ClaimStatus.TAKEN_WITH_OTHER_BODY)
    return Decision(claim, ClaimStatus.TAKEN)
