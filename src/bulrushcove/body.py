"""Reads the body of a caller's request within size and time limits."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web

from .exceptions import RefusedError
from .settings import EntrySettings

REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413


async def read_body(
    request: web.Request,
    settings: EntrySettings,
    timeout_s: float,
) -> bytes | AsyncIterator[bytes]:
    """Return the complete body, or a stream if it is too long for a retry.

    Raises ``RefusedError`` (413) for a body over the limit or one over
    ``retry_body_bytes`` without a declared length, and (408) if a body to be
    kept is not received within ``timeout_s``.
    """
    length = request.content_length
    if length is not None and length > settings.max_body_bytes:
        raise _too_large('max_body_bytes', settings.max_body_bytes)
    if length is not None and length > settings.retry_body_bytes:
        return request.content.iter_any()
    return await read_whole(request, settings.retry_body_bytes, timeout_s)


async def read_whole(
    request: web.Request,
    limit: int,
    timeout_s: float,
) -> bytes:
    """Return the complete body.

    Raises ``RefusedError`` (413) if it is over ``limit`` bytes and (408) after
    ``timeout_s``.
    """
    content = request.content
    if content.is_eof():
        first = content.read_nowait()
        _check_size(len(first), limit)
        return first
    try:
        async with asyncio.timeout(timeout_s):
            return await _read_parts(request, limit)
    except TimeoutError as exc:
        raise RefusedError(
            REQUEST_TIMEOUT,
            'the body was not received in time',
            field='X-Bulrushcove-Deadline-Ms',
        ) from exc


async def _read_parts(request: web.Request, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        parts.append(part)
        size += len(part)
        _check_size(size, limit)
    return b''.join(parts)


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise _too_large('body without a declared length', limit)


def _too_large(field: str, limit: int) -> RefusedError:
    return RefusedError(
        CONTENT_TOO_LARGE,
        f'the body exceeds the limit of {limit} bytes',
        field=field,
        limit=f'{limit} bytes',
    )
