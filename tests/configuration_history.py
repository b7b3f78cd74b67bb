"""Decides over a history of the configuration whether property 9 held."""

import asyncio
from collections.abc import Iterable
from itertools import pairwise

import msgspec

from bulrushcove.configuration import Configuration, Subject
from bulrushcove.configuration_codec import decode_configuration
from bulrushcove.ids import OperationId, Revision
from bulrushcove.store import CONFIGURATION_KEY
from tests.fake_store import FakeStore


class SentChange(msgspec.Struct):
    """One operation as its operator sees it."""

    operation: OperationId
    subject: Subject
    name: str
    # What the operator knew when the operation was first sent.
    based_on: Revision
    # None: no answer said that it was accepted.
    accepted_at: Revision | None = None
    refused: bool = False
    # An answer was lost: whether it was applied is not known.
    in_doubt: bool = False


class RecordingStore(FakeStore):
    """Keeps every configuration that was ever stored, in order."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[Configuration] = []

    def _put(self, write) -> None:
        super()._put(write)
        if write.key == CONFIGURATION_KEY:
            self.history.append(decode_configuration(write.value))


def find_violations(
    history: list[Configuration], operations: Iterable[SentChange]
) -> list[str]:
    """Return what is wrong, a line each; empty: property 9 held."""
    breaches = [
        f'revision {after.revision} was stored over {before.revision}'
        for before, after in pairwise(history)
        if after.revision != before.revision + 1
        or after.changes[:-1] != before.changes
    ]
    made = [found.changes[-1] for found in history]
    at = {change.operation: change for change in made}
    if len(at) != len(made):
        breaches.append('an operation was applied twice')
    for sent in operations:
        change = at.get(sent.operation)
        breaches.extend(_operation_breaches(sent, change, made))
    return breaches


def run(loop: asyncio.AbstractEventLoop, *coroutines):
    """Run the coroutines side by side; returns their results."""

    async def gather():
        return await asyncio.gather(*coroutines)

    return loop.run_until_complete(gather())


def _operation_breaches(sent, change, made):
    if sent.accepted_at is not None and (
        change is None or change.revision != sent.accepted_at
    ):
        yield f'accepted operation {sent.operation} was lost'
    if sent.refused and change is not None:
        yield f'refused operation {sent.operation} took effect'
    if change is None:
        return
    between = [
        other.operation
        for other in made
        if (other.subject, other.name) == (sent.subject, sent.name)
        and sent.based_on < other.revision < change.revision
    ]
    if between:
        yield f'{sent.operation} silently overwrote {between}'
