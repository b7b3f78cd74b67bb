"""What is answered to an operator: accepted, unchanged or refused."""

import logging
from collections.abc import Callable

import msgspec

from .configuration import Change, Configuration, Subject
from .configuration_changes import changes_since
from .exceptions import ConfigurationConflictError, GuaranteeBrokenError
from .ids import Revision
from .logs import log_event
from .operator_api import ChangeOrder, ChangeResponse
from .tracing import current_trace_id

logger = logging.getLogger(__name__)

ApplyChange = Callable[..., Configuration]


class RequestedChange(msgspec.Struct, frozen=True):
    """One thing to change, and the function that changes it."""

    subject: Subject
    name: str
    apply: ApplyChange
    # Whether an operator may force it against guarantees.
    can_be_forced: bool = False


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


def make_accepted_response(
    requested: RequestedChange,
    done: Change,
    configuration: Configuration,
) -> ChangeResponse:
    """Return the answer to a change that is known to be stored.

    Raises ``ConfigurationConflictError`` when its operation id was another's.
    """
    if (done.subject, done.name) != (requested.subject, requested.name):
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
    return ChangeResponse(
        changed=True,
        revision=done.revision,
        operation=done.operation,
        differences=done.differences,
        previous=tuple(earlier[-1:]),
    )


def make_unchanged_response(
    order: ChangeOrder,
    configuration: Configuration,
    updated: Configuration,
    broken: tuple[str, ...],
) -> ChangeResponse:
    """Return the answer to a dry run, or where nothing was to change."""
    return ChangeResponse(
        changed=False,
        revision=configuration.revision,
        operation=order.operation,
        differences=updated.changes[-1].differences,
        broken_guarantees=broken,
    )


def check_conflict(
    requested: RequestedChange,
    configuration: Configuration,
    based_on: Revision,
) -> None:
    """Raise ``ConfigurationConflictError`` with what came in between."""
    changes = changes_since(
        configuration, based_on, requested.subject, requested.name
    )
    if changes:
        raise ConfigurationConflictError(
            f'{requested.subject.value} {requested.name!r} was changed by '
            f'another operator after revision {based_on}',
            details=tuple(describe_change(change) for change in changes),
        )


def check_guarantees_kept(
    requested: RequestedChange,
    order: ChangeOrder,
    broken: tuple[str, ...],
) -> None:
    """Raise ``GuaranteeBrokenError`` unless the operator may and does force."""
    if not broken or (requested.can_be_forced and order.force):
        return
    hint = '; force it to do so all the same' if requested.can_be_forced else ''
    raise GuaranteeBrokenError(
        f'{requested.subject.value} {requested.name!r}: the change would break '
        f'{len(broken)} guarantees{hint}',
        details=broken,
    )
