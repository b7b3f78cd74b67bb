"""Checks a history of the configuration for lost or overwritten changes."""

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
    """An operation and what its operator knows about the outcome."""

    operation: OperationId
    subject: Subject
    name: str
    # Newest revision when the operation was first sent.
    based_on: Revision
    # Revision of the accepted change; None without such a response.
    accepted_revision: Revision | None = None
    is_refused: bool = False
    # A response was lost; it is not known whether the change was applied.
    is_outcome_unknown: bool = False


class RecordingStore(FakeStore):
    """Records all configurations that are stored, in order."""

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
    """Return one line per violation; empty if there is none."""
    violations = [
        f'revision {after.revision} was stored over {before.revision}'
        for before, after in pairwise(history)
        if after.revision != before.revision + 1
        or after.changes[:-1] != before.changes
    ]
    applied = [configuration.changes[-1] for configuration in history]
    change_by_operation = {change.operation: change for change in applied}
    if len(change_by_operation) != len(applied):
        violations.append('an operation was applied twice')
    for sent in operations:
        change = change_by_operation.get(sent.operation)
        violations.extend(_operation_violations(sent, change, applied))
    return violations


def run(loop: asyncio.AbstractEventLoop, *coroutines):
    """Run the coroutines concurrently; return their results."""

    async def gather():
        return await asyncio.gather(*coroutines)

    return loop.run_until_complete(gather())


def _operation_violations(sent, change, applied):
    if sent.accepted_revision is not None and (
        change is None or change.revision != sent.accepted_revision
    ):
        yield f'accepted operation {sent.operation} was lost'
    if sent.is_refused and change is not None:
        yield f'refused operation {sent.operation} took effect'
    if change is None:
        return
    overwritten = [
        other.operation
        for other in applied
        if (other.subject, other.name) == (sent.subject, sent.name)
        and sent.based_on < other.revision < change.revision
    ]
    if overwritten:
        yield f'{sent.operation} silently overwrote {overwritten}'
