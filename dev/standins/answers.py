"""Answer of a backend server, which a caller can compute and compare."""

import hashlib

import msgspec

from bulrushcove.ids import OrganisationId, RequestId


class BackendResponseBody(msgspec.Struct, frozen=True):
    """Answer to one request; names whose it is and what was asked."""

    organisation: OrganisationId
    request: RequestId
    body_sha256: str
    # Lengthens the answer; derived from the fields above.
    padding: str = ''


def make_response_body(
    organisation: OrganisationId,
    request: RequestId,
    body: bytes,
    padding_bytes: int = 0,
) -> bytes:
    """Return the body that a backend server answers with."""
    digest = hashlib.sha256(body).hexdigest()
    seed = hashlib.sha256(f'{organisation} {request} {digest}'.encode())
    unit = seed.hexdigest()
    repeats = padding_bytes // len(unit) + 1
    padding = (unit * repeats)[:padding_bytes]
    return msgspec.json.encode(
        BackendResponseBody(
            organisation=organisation,
            request=request,
            body_sha256=digest,
            padding=padding,
        )
    )
