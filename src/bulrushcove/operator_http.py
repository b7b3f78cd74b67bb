"""Authentication, body validation and errors of the operators' API."""

import asyncio
import hashlib
import hmac
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import msgspec
from aiohttp import web

from .exceptions import (
    BulrushcoveError,
    ConfigurationConflictError,
    ConfigurationError,
    RefusedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from .logs import log_event
from .operator_api import ErrorResponse
from .states import Outcome
from .tracing import TRACEPARENT, current_trace_id, span

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_LARGE = 413
HTTP_UNPROCESSABLE = 422
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504

MAX_OPERATOR_BODY_BYTES = 1_048_576
BEARER = 'Bearer '

logger = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
TypedHandler = Callable[[web.Request], Awaitable[msgspec.Struct]]
BodyType = TypeVar('BodyType', bound=msgspec.Struct)

# The first matching class applies, so the most specific come first.
ERROR_STATUSES = (
    (ConfigurationConflictError, HTTP_CONFLICT, Outcome.NOT_RUN),
    (ConfigurationError, HTTP_UNPROCESSABLE, Outcome.NOT_RUN),
    (StoreUnavailableError, HTTP_UNAVAILABLE, Outcome.NOT_RUN),
    (StoreOutcomeUnknownError, HTTP_TIMEOUT, Outcome.UNKNOWN),
)


def operator_handler(
    typed_handler: TypedHandler,
    token_sha256: Iterable[str],
) -> Handler:
    """Return an HTTP handler that responds with what ``typed_handler`` returns.

    It checks the operator's token and converts errors to ``ErrorResponse``.
    """
    allowed_sha256 = tuple(token_sha256)

    async def handle(request: web.Request) -> web.StreamResponse:
        traceparent = request.headers.get(TRACEPARENT, '')
        with span('entry.operator', traceparent=traceparent):
            try:
                return await _respond(request, typed_handler, allowed_sha256)
            except BulrushcoveError as exc:
                _log_refusal(request, exc)
                return _error_response(exc)

    return handle


async def read_message(
    request: web.Request,
    body_type: type[BodyType],
) -> BodyType:
    """Return the request's body as a message of ``body_type``.

    Raises ``RefusedError`` when it is too large or not valid.
    """
    try:
        body = await request.content.readexactly(MAX_OPERATOR_BODY_BYTES + 1)
    except asyncio.IncompleteReadError as exc:
        # The body ends before the limit: the usual case.
        body = exc.partial
    if len(body) > MAX_OPERATOR_BODY_BYTES:
        raise RefusedError(
            HTTP_TOO_LARGE,
            f'body is over the limit of {MAX_OPERATOR_BODY_BYTES} bytes',
            field='body',
            limit=f'{MAX_OPERATOR_BODY_BYTES} bytes',
        )
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RefusedError(
            HTTP_BAD_REQUEST,
            f'body is not a {body_type.__name__}: {exc}',
            field='body',
        ) from exc


def _log_refusal(request: web.Request, error: BulrushcoveError) -> None:
    log_event(
        logger,
        'operator.refused',
        level=logging.WARNING,
        method=request.method,
        path=request.path,
        error=error,
        trace=current_trace_id(),
    )


async def _respond(
    request: web.Request,
    typed_handler: TypedHandler,
    allowed_sha256: tuple[str, ...],
) -> web.Response:
    _check_token(request, allowed_sha256)
    return _json_response(await typed_handler(request), web.HTTPOk.status_code)


def _check_token(request: web.Request, allowed_sha256: tuple[str, ...]) -> None:
    header = request.headers.get('Authorization', '')
    token = header.removeprefix(BEARER)
    digest = hashlib.sha256(token.encode(errors='replace')).hexdigest()
    # Every hash is compared, so that the duration reveals nothing.
    matches = [hmac.compare_digest(digest, sha256) for sha256 in allowed_sha256]
    if not header.startswith(BEARER) or not any(matches):
        raise RefusedError(HTTP_UNAUTHORIZED, 'no valid operator token')


def _error_response(error: BulrushcoveError) -> web.Response:
    if isinstance(error, RefusedError):
        response = ErrorResponse(
            outcome=error.outcome,
            message=str(error),
            field=error.field,
            limit=error.limit,
            trace=current_trace_id(),
        )
        return _json_response(response, error.status)
    for error_type, status, outcome in ERROR_STATUSES:
        if isinstance(error, error_type):
            response = ErrorResponse(
                outcome=outcome,
                message=str(error),
                trace=current_trace_id(),
                details=getattr(error, 'details', ()),
            )
            return _json_response(response, status)
    raise error


def _json_response(response: msgspec.Struct, status: int) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(response),
        status=status,
        content_type='application/json',
    )
