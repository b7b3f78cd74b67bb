"""JSON responses to callers, in particular those of refused requests."""

import msgspec
from aiohttp import web

from .exceptions import RefusedError
from .states import Outcome

OUTCOME_HEADER = 'X-Bulrushcove-Outcome'
ATTEMPTS_HEADER = 'X-Bulrushcove-Attempts'
TRACE_HEADER = 'X-Bulrushcove-Trace'
JSON_TYPE = 'application/json'
BAD_REQUEST = 400
_encoder = msgspec.json.Encoder()


class RefusalBody(msgspec.Struct, frozen=True):
    """Body of an error response; ``field`` and ``limit`` may be empty."""

    outcome: Outcome
    message: str
    field: str
    limit: str
    trace: str


def refusal_response(
    error: RefusedError,
    trace: str,
    attempts: int = 0,
) -> web.Response:
    """Return the HTTP response for ``error``."""
    body = RefusalBody(
        outcome=error.outcome,
        message=str(error),
        field=error.field,
        limit=error.limit,
        trace=trace,
    )
    return web.Response(
        status=error.status,
        body=_encoder.encode(body),
        content_type=JSON_TYPE,
        headers=outcome_headers(error.outcome, attempts, trace),
    )


def outcome_headers(
    outcome: Outcome,
    attempts: int,
    trace: str,
) -> dict[str, str]:
    """Return the headers that every response to a caller has."""
    return {
        OUTCOME_HEADER: outcome.value,
        ATTEMPTS_HEADER: str(attempts),
        TRACE_HEADER: trace,
    }


def json_response(
    message: msgspec.Struct | list[msgspec.Struct],
    status: int = 200,
) -> web.Response:
    """Return ``message`` as a JSON response."""
    return web.Response(
        status=status,
        body=_encoder.encode(message),
        content_type=JSON_TYPE,
    )


def malformed(field: str, message: str, limit: str) -> RefusedError:
    """Return the error (400) for a field that does not parse."""
    return RefusedError(BAD_REQUEST, message, field=field, limit=limit)
