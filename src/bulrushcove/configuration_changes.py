"""Functions that apply a change to the configuration; they do no I/O."""

from collections.abc import Mapping
from itertools import chain

import msgspec

from .configuration import (
    MAX_KEPT_CHANGES,
    Change,
    Configuration,
    Subject,
)
from .configuration_diff import contract_differences
from .contract import Contract
from .exceptions import ConfigurationError
from .ids import DomainName, OperationId, OrganisationId, Revision
from .names import NAME_RULE, is_valid_name, unknown_name_message
from .states import DomainState


def apply_contract(
    configuration: Configuration,
    contract: Contract,
    operation: OperationId,
    *,
    operator: str = '',
    unix_ms: int = 0,
) -> Configuration:
    """Return the next revision, with ``contract`` added or replaced.

    Raises ``ConfigurationError`` if the organisation's name is not valid, a
    domain is unknown or a token belongs to another organisation.
    """
    name = contract.organisation
    if not is_valid_name(name):
        raise ConfigurationError(f'organisation {name!r}: allowed: {NAME_RULE}')
    _check_domains(contract, configuration.domains)
    _check_tokens(contract, configuration.contracts)
    old = configuration.contracts.get(name)
    change = Change(
        Revision(configuration.revision + 1),
        operation,
        Subject.CONTRACT,
        name,
        contract_differences(old, contract),
        operator,
        unix_ms,
    )
    return _with_change(
        configuration,
        change,
        contracts={**configuration.contracts, name: contract},
    )


def remove_contract(
    configuration: Configuration,
    organisation: OrganisationId,
    operation: OperationId,
    *,
    operator: str = '',
    unix_ms: int = 0,
) -> Configuration:
    """Return the next revision without the organisation's contract.

    Raises ``ConfigurationError`` if it has none.
    """
    contracts = dict(configuration.contracts)
    if contracts.pop(organisation, None) is None:
        raise ConfigurationError(
            unknown_name_message('contract', organisation, contracts),
        )
    change = Change(
        Revision(configuration.revision + 1),
        operation,
        Subject.CONTRACT,
        organisation,
        ('removed',),
        operator,
        unix_ms,
    )
    return _with_change(configuration, change, contracts=contracts)


def set_domain(
    configuration: Configuration,
    domain: DomainName,
    state: DomainState,
    operation: OperationId,
    *,
    operator: str = '',
    unix_ms: int = 0,
) -> Configuration:
    """Return the next revision, with ``domain`` in ``state``.

    Raises ``ConfigurationError`` if the name is not valid.
    """
    if not is_valid_name(domain):
        raise ConfigurationError(f'domain {domain!r}: allowed: {NAME_RULE}')
    old_state = configuration.domains.get(domain)
    old_state_text = old_state.value if old_state else 'new'
    change = Change(
        Revision(configuration.revision + 1),
        operation,
        Subject.DOMAIN,
        domain,
        (f'state: {old_state_text} -> {state.value}',),
        operator,
        unix_ms,
    )
    return _with_change(
        configuration,
        change,
        domains={**configuration.domains, domain: state},
    )


def find_change(
    configuration: Configuration,
    operation: OperationId,
) -> Change | None:
    """Return the change made by ``operation``; None if none is kept."""
    for change in configuration.changes:
        if change.operation == operation:
            return change
    return None


def changes_since(
    configuration: Configuration,
    revision: Revision,
    subject: Subject,
    name: str,
) -> tuple[Change, ...]:
    """Return the changes of one contract or domain after ``revision``.

    Raises ``ConfigurationError`` if some of them are no longer kept.
    """
    if configuration.revision - revision > len(configuration.changes):
        raise ConfigurationError(
            f'revision {revision} is too old to list the changes since; '
            f'the configuration is at revision {configuration.revision}',
        )
    return tuple(
        change
        for change in configuration.changes
        if change.revision > revision
        and (change.subject, change.name) == (subject, name)
    )


def _with_change(
    configuration: Configuration,
    change: Change,
    *,
    contracts: dict[OrganisationId, Contract] | None = None,
    domains: dict[DomainName, DomainState] | None = None,
) -> Configuration:
    kept = (*configuration.changes, change)[-MAX_KEPT_CHANGES:]
    return Configuration(
        revision=change.revision,
        contracts=configuration.contracts if contracts is None else contracts,
        domains=configuration.domains if domains is None else domains,
        changes=kept,
    )


def _check_domains(
    contract: Contract,
    domains: Mapping[DomainName, DomainState],
) -> None:
    referenced = chain(
        contract.hidden_domains,
        (shape.domain for shape in contract.guaranteed),
        (contract.spare_domain,),
    )
    for domain in referenced:
        if domain is not None and domain not in domains:
            message = unknown_name_message('domain', domain, domains)
            raise ConfigurationError(
                f'contract {contract.organisation!r}: {message}',
            )


def _check_tokens(
    contract: Contract,
    contracts: Mapping[OrganisationId, Contract],
) -> None:
    own_tokens = frozenset(contract.token_sha256)
    for other in contracts.values():
        if other.organisation == contract.organisation:
            continue
        if not own_tokens.isdisjoint(other.token_sha256):
            raise ConfigurationError(
                f'contract {contract.organisation!r}: token_sha256 contains '
                'a token of another organisation',
            )


def has_same_content(first: Configuration, second: Configuration) -> bool:
    """Return whether contracts and domains of both are equal."""
    return msgspec.structs.replace(
        first, revision=0, changes=()
    ) == msgspec.structs.replace(second, revision=0, changes=())
