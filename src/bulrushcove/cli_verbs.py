"""The interface between the command line and its verbs."""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import msgspec

from .cli_client import EntryClient
from .cli_errors import ExitStatus
from .cli_options import Options
from .cli_output import Table, format_json, format_table


class Command:
    """One invocation: its options, arguments and output."""

    def __init__(self, options: Options, arguments: tuple[str, ...]) -> None:
        """Set the parsed options and arguments."""
        self.options = options
        self.arguments = arguments

    @property
    def argument(self) -> str:
        """Return the verb's only argument."""
        return self.arguments[0]

    def show(self, response: msgspec.Struct, table: Table) -> None:
        """Print ``response`` as JSON, or ``table``, as ``--output`` says."""
        self.show_text(response, format_table(table))

    def show_text(self, response: msgspec.Struct, text: str) -> None:
        """Print ``response`` as JSON, or ``text``, as ``--output`` says."""
        if self.options.output == 'json':
            text = format_json(response)
        print(text)

    def print_note(self, text: str) -> None:
        """Print ``text`` to standard error, apart from the response."""
        print(text, file=sys.stderr, flush=True)


RunVerb = Callable[[Command], Awaitable[ExitStatus]]


class Verb(NamedTuple):
    """A verb of the command line, such as ``contract apply FILE``."""

    group: str
    name: str
    arguments: tuple[str, ...]
    summary: str
    example: str
    run: RunVerb

    @property
    def usage(self) -> str:
        """Return the verb with its arguments, without flags."""
        words = (self.group, self.name, *self.arguments)
        return ' '.join(word for word in words if word)


@asynccontextmanager
async def open_client(command: Command) -> AsyncIterator[EntryClient]:
    """Open a client for the entry VMs and close it on exit."""
    # Imported here so that verbs without requests, and help, start faster.
    import aiohttp

    from .cli_http import make_exchange

    options = command.options
    async with aiohttp.ClientSession() as session:
        exchange = make_exchange(session, options.token, options.timeout_s)
        yield EntryClient(exchange, options.entries)


def run_verb(verb: Verb, command: Command) -> ExitStatus:
    """Run ``verb`` and return its exit status; raises ``CommandError``."""
    return asyncio.run(_await_verb(verb, command))


async def _await_verb(verb: Verb, command: Command) -> ExitStatus:
    return await verb.run(command)
