"""Response bodies of backend servers, which a caller can recompute."""

import hashlib

import msgspec

from bulrushcove.ids import OrganisationId, RequestId


class BackendResponseBody(msgspec.Struct, frozen=True):
    """Response to one request; identifies the request and its body."""

    organisation: OrganisationId
    request: RequestId
    body_sha256: str
    # Pads the response to a length; derived from the fields above.
    padding: str = ''


def make_response_body(
    organisation: OrganisationId,
    request: RequestId,
    body: bytes,
    padding_bytes: int = 0,
) -> bytes:
    """Return the JSON body of a backend server's response.

    ``padding_bytes`` is the length of the padding.
    """
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
