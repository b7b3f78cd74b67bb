"""Client of the operators' API, which tries the entry VMs in turn."""

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from .cli_errors import (
    CommandError,
    CommandOutcomeUnknownError,
    CommandRefusedError,
)
from .exceptions import BulrushcoveError
from .operator_api import ErrorResponse
from .states import Outcome

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_SERVER_ERROR = 500

ResponseType = TypeVar('ResponseType', bound=msgspec.Struct)


class Reply(NamedTuple):
    """HTTP status and body of a response, not decoded yet."""

    status: int
    body: bytes


# Takes the entry VM's address, the method, the path and the body.
Exchange = Callable[[str, str, str, bytes], Awaitable[Reply]]


class NotHandledError(BulrushcoveError):
    """The entry VM did not handle the request."""


class EntryOutcomeUnknownError(BulrushcoveError):
    """The entry VM may have handled the request."""


class EntryClient:
    """Sends each request to the entry VMs in turn until one responds."""

    def __init__(
        self,
        exchange: Exchange,
        entries: tuple[str, ...],
    ) -> None:
        """Send requests to ``entries`` with ``exchange``."""
        self._exchange = exchange
        self._entries = entries

    async def get(
        self,
        path: str,
        response_type: type[ResponseType],
        query: Mapping[str, str] | None = None,
    ) -> ResponseType:
        """Return the response of the first entry VM that gives one.

        Raises ``CommandRefusedError`` if none does or the request is refused.
        """
        asked = f'{path}?{urlencode(query)}' if query else path
        return await self.request('GET', asked, response_type)

    async def request(
        self,
        method: str,
        path: str,
        response_type: type[ResponseType],
        body: msgspec.Struct | None = None,
    ) -> ResponseType:
        """Send a request without side effects, such as a dry run.

        Raises like ``get``.
        """
        encoded = msgspec.json.encode(body) if body else b''
        failures = []
        for entry in self._entries:
            try:
                reply = await self._exchange(entry, method, path, encoded)
                return _decode(entry, reply, response_type)
            except (NotHandledError, EntryOutcomeUnknownError) as exc:
                failures.append(str(exc))
        raise CommandRefusedError('no entry VM responded', tuple(failures))

    async def change(
        self,
        method: str,
        path: str,
        response_type: type[ResponseType],
        body: msgspec.Struct | None = None,
    ) -> ResponseType:
        """Make an idempotent change, usually by an operation id in ``body``.

        That allows a retry at another entry VM after a lost response.
        Raises ``CommandRefusedError`` when nothing was changed and
        ``CommandOutcomeUnknownError`` when the outcome is unknown.
        """
        encoded = msgspec.json.encode(body) if body else b''
        failures: list[BulrushcoveError] = []
        for entry in self._entries:
            try:
                reply = await self._exchange(entry, method, path, encoded)
                return _decode(entry, reply, response_type)
            except (NotHandledError, EntryOutcomeUnknownError) as exc:
                failures.append(exc)
            except CommandRefusedError as exc:
                failures.append(exc)
                break
        raise _summarize_failures(failures)


def resource_path(path: str, name: str, *rest: str) -> str:
    """Return ``path`` extended by ``name``, which is percent-encoded."""
    return '/'.join((path, quote(name, safe=''), *rest))


def _summarize_failures(failures: list[BulrushcoveError]) -> CommandError:
    lines = tuple(str(failure) for failure in failures)
    if any(
        isinstance(failure, EntryOutcomeUnknownError) for failure in failures
    ):
        # A later refusal does not tell whether the earlier request took effect.
        return CommandOutcomeUnknownError('the outcome is unknown', lines)
    last = failures[-1]
    if isinstance(last, CommandRefusedError):
        return last
    return CommandRefusedError('nothing was changed', lines)


def _decode(
    entry: str,
    reply: Reply,
    response_type: type[ResponseType],
) -> ResponseType:
    try:
        if reply.status == HTTP_OK:
            return msgspec.json.decode(reply.body, type=response_type)
        error = msgspec.json.decode(reply.body, type=ErrorResponse)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        message = f'{entry}: HTTP {reply.status}, not a known response: {exc}'
        if HTTP_OK < reply.status < HTTP_SERVER_ERROR:
            raise CommandRefusedError(message) from exc
        raise EntryOutcomeUnknownError(message) from exc
    if error.outcome is Outcome.UNKNOWN:
        raise EntryOutcomeUnknownError(f'{entry}: {error.message}')
    if reply.status == HTTP_UNAVAILABLE:
        # Another entry VM may be able to reach the platform.
        raise NotHandledError(f'{entry}: {error.message}')
    raise CommandRefusedError(error.message, error.details)
