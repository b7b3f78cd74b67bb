"""Outcomes of an operator's change: accepted, unchanged or refused."""

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
    """A change of one contract or domain, and the function that applies it."""

    subject: Subject
    name: str
    apply: ApplyChange
    # Whether an operator may force it although it breaks guarantees.
    can_be_forced: bool = False


def describe_change(change: Change) -> str:
    """Return a sentence that describes ``change`` to another operator."""
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
    applied: Change,
    configuration: Configuration,
) -> ChangeResponse:
    """Return the response to a change that is confirmed to be stored.

    Raises ``ConfigurationConflictError`` when its operation id belongs to a
    change of another contract or domain.
    """
    if (applied.subject, applied.name) != (requested.subject, requested.name):
        raise ConfigurationConflictError(
            f'operation {applied.operation!r} was used for another change',
            details=(describe_change(applied),),
        )
    earlier = [
        describe_change(change)
        for change in configuration.changes
        if (change.subject, change.name) == (applied.subject, applied.name)
        and change.revision < applied.revision
    ]
    return ChangeResponse(
        changed=True,
        revision=applied.revision,
        operation=applied.operation,
        differences=applied.differences,
        previous=tuple(earlier[-1:]),
    )


def make_unchanged_response(
    order: ChangeOrder,
    configuration: Configuration,
    updated: Configuration,
    broken: tuple[str, ...],
) -> ChangeResponse:
    """Return the response to a dry run, or to a change without effect."""
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
    """Raise ``ConfigurationConflictError`` if ``requested`` is outdated.

    Its contract or domain must not have changed after revision ``based_on``;
    the error's details describe such changes.
    """
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
    """Raise ``GuaranteeBrokenError`` if the change breaks guarantees.

    ``broken`` describes those guarantees. A change that ``can_be_forced``
    passes if the order forces it.
    """
    if not broken or (requested.can_be_forced and order.force):
        return
    hint = '; use force to make it anyway' if requested.can_be_forced else ''
    raise GuaranteeBrokenError(
        f'{requested.subject.value} {requested.name!r}: the change would break '
        f'{len(broken)} guarantees{hint}',
        details=broken,
    )
