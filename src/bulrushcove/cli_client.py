"""Asks entry VMs in turn on behalf of the command line."""

from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from .cli_errors import (
    CommandError,
    CommandRefusedError,
    CommandUnknownError,
)
from .exceptions import BulrushcoveError
from .ids import OperationId
from .operator_api import ErrorAnswer
from .states import Outcome

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_SERVER_ERROR = 500

AnswerType = TypeVar('AnswerType', bound=msgspec.Struct)


class Reply(NamedTuple):
    """Answer of an entry VM as it came."""

    status: int
    body: bytes


# Takes the entry VM's address, the method, the path and the body.
Exchange = Callable[[str, str, str, bytes], Awaitable[Reply]]


class NotSentError(BulrushcoveError):
    """The entry VM surely did not act on the question."""


class NoAnswerError(BulrushcoveError):
    """The entry VM may have acted on the question."""


class EntryClient:
    """Asks the entry VMs in turn until one gives an answer."""

    def __init__(
        self,
        exchange: Exchange,
        entries: tuple[str, ...],
        operation: OperationId,
    ) -> None:
        """Ask ``entries`` by ``exchange``; changes carry ``operation``."""
        self._exchange = exchange
        self._entries = entries
        self._operation = operation

    async def get(
        self,
        path: str,
        answer_type: type[AnswerType],
        query: Mapping[str, str] | None = None,
    ) -> AnswerType:
        """Return the answer of the first entry VM that gives one.

        Raises ``CommandRefusedError``.
        """
        asked = f'{path}?{urlencode(query)}' if query else path
        failures = []
        for entry in self._entries:
            try:
                reply = await self._exchange(entry, 'GET', asked, b'')
                return _decode(entry, reply, answer_type)
            except (NotSentError, NoAnswerError) as exc:
                failures.append(str(exc))
        raise CommandRefusedError('no entry VM answered', tuple(failures))

    async def change(
        self,
        method: str,
        path: str,
        answer_type: type[AnswerType],
        body: msgspec.Struct | None = None,
    ) -> AnswerType:
        """Have something changed once; ``body`` carries the operation id.

        Because of that id another entry VM may be asked after an answer was
        lost. Raises ``CommandRefusedError`` when nothing was changed and
        ``CommandUnknownError`` when that cannot be told.
        """
        encoded = msgspec.json.encode(body) if body else b''
        failures: list[BulrushcoveError] = []
        for entry in self._entries:
            try:
                reply = await self._exchange(entry, method, path, encoded)
                return _decode(entry, reply, answer_type)
            except (NotSentError, NoAnswerError) as exc:
                failures.append(exc)
            except CommandRefusedError as exc:
                failures.append(exc)
                break
        raise self._conclude(failures)

    def _conclude(self, failures: list[BulrushcoveError]) -> CommandError:
        lines = tuple(str(failure) for failure in failures)
        if any(isinstance(failure, NoAnswerError) for failure in failures):
            # A refusal now says nothing of what was sent before it.
            return CommandUnknownError(
                'the outcome is unknown; send the same command again with '
                f'--operation={self._operation}',
                lines,
            )
        last = failures[-1]
        if isinstance(last, CommandRefusedError):
            return last
        return CommandRefusedError('nothing was changed', lines)


def name_path(path: str, name: str, *rest: str) -> str:
    """Return the path of a thing with any characters in its name."""
    return '/'.join((path, quote(name, safe=''), *rest))


def _decode(
    entry: str,
    reply: Reply,
    answer_type: type[AnswerType],
) -> AnswerType:
    try:
        if reply.status == HTTP_OK:
            return msgspec.json.decode(reply.body, type=answer_type)
        error = msgspec.json.decode(reply.body, type=ErrorAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        message = f'{entry}: HTTP {reply.status}, not a known answer: {exc}'
        if HTTP_OK < reply.status < HTTP_SERVER_ERROR:
            raise CommandRefusedError(message) from exc
        raise NoAnswerError(message) from exc
    if error.outcome is Outcome.UNKNOWN:
        raise NoAnswerError(f'{entry}: {error.message}')
    if reply.status == HTTP_UNAVAILABLE:
        # Another entry VM may reach the platform.
        raise NotSentError(f'{entry}: {error.message}')
    raise CommandRefusedError(error.message, error.details)
