"""What is answered to an operator: accepted, unchanged or refused."""

import logging
from collections.abc import Callable

import msgspec

from .configuration import Change, Configuration, Subject
from .configuration_changes import changes_since
from .exceptions import ConfigurationConflictError, GuaranteeBrokenError
from .ids import Revision
from .logs import log_event
from .operator_api import ChangeAnswer, ChangeOrder
from .tracing import current_trace_id

logger = logging.getLogger(__name__)

MakeChange = Callable[..., Configuration]


class Wish(msgspec.Struct, frozen=True):
    """One thing to change, and the function that changes it."""

    subject: Subject
    name: str
    make: MakeChange
    # Whether an operator may force it against guarantees.
    forcible: bool = False


def describe_change(change: Change) -> str:
    """Return a change in plain words, for another operator."""
    differences = '; '.join(change.differences)
    return (
        f'revision {change.revision} by {change.operator or "an operator"}: '
        f'{change.subject.value} {change.name!r}: {differences}'
    )


def log_change(change: Change) -> None:
    """Log an accepted change."""
    log_event(
        logger,
        'operator.changed',
        revision=change.revision,
        operation=change.operation,
        operator=change.operator,
        subject=change.subject.value,
        thing=change.name,
        trace=current_trace_id(),
    )


def accepted(
    wish: Wish,
    done: Change,
    configuration: Configuration,
) -> ChangeAnswer:
    """Return the answer to a change that is known to be stored.

    Raises ``ConfigurationConflictError`` when its operation id was another's.
    """
    if (done.subject, done.name) != (wish.subject, wish.name):
        raise ConfigurationConflictError(
            f'operation {done.operation!r} was used for another change',
            details=(describe_change(done),),
        )
    earlier = [
        describe_change(change)
        for change in configuration.changes
        if (change.subject, change.name) == (done.subject, done.name)
        and change.revision < done.revision
    ]
    return ChangeAnswer(
        changed=True,
        revision=done.revision,
        operation=done.operation,
        differences=done.differences,
        previous=tuple(earlier[-1:]),
    )


def unchanged(
    order: ChangeOrder,
    configuration: Configuration,
    following: Configuration,
    broken: tuple[str, ...],
) -> ChangeAnswer:
    """Return the answer to a dry run, or where nothing was to change."""
    return ChangeAnswer(
        changed=False,
        revision=configuration.revision,
        operation=order.operation,
        differences=following.changes[-1].differences,
        broken_guarantees=broken,
    )


def check_conflict(
    wish: Wish,
    configuration: Configuration,
    based_on: Revision,
) -> None:
    """Raise ``ConfigurationConflictError`` with what came in between."""
    changes = changes_since(configuration, based_on, wish.subject, wish.name)
    if changes:
        raise ConfigurationConflictError(
            f'{wish.subject.value} {wish.name!r} was changed by another '
            f'operator after revision {based_on}',
            details=tuple(describe_change(change) for change in changes),
        )


def check_guarantees_kept(
    wish: Wish,
    order: ChangeOrder,
    broken: tuple[str, ...],
) -> None:
    """Raise ``GuaranteeBrokenError`` unless the operator may and does force."""
    if not broken or (wish.forcible and order.force):
        return
    hint = '; force it to do so all the same' if wish.forcible else ''
    raise GuaranteeBrokenError(
        f'{wish.subject.value} {wish.name!r}: the change would break '
        f'{len(broken)} guarantees{hint}',
        details=broken,
    )
