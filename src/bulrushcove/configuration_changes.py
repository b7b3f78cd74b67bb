"""Changes of the configuration: pure functions to the next revision."""

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
    """Return the next revision with ``contract`` in it.

    Raises ``ConfigurationError`` for a name that breaks the rule, a domain
    that is not known, and a token that is another organisation's.
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
    return _next(
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

    Raises ``ConfigurationError`` when there is none.
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
    return _next(configuration, change, contracts=contracts)


def set_domain(
    configuration: Configuration,
    domain: DomainName,
    state: DomainState,
    operation: OperationId,
    *,
    operator: str = '',
    unix_ms: int = 0,
) -> Configuration:
    """Return the next revision with ``domain`` in ``state``.

    Raises ``ConfigurationError`` for a name that breaks the rule.
    """
    if not is_valid_name(domain):
        raise ConfigurationError(f'domain {domain!r}: allowed: {NAME_RULE}')
    held = configuration.domains.get(domain)
    before = held.value if held else 'new'
    change = Change(
        Revision(configuration.revision + 1),
        operation,
        Subject.DOMAIN,
        domain,
        (f'state: {before} -> {state.value}',),
        operator,
        unix_ms,
    )
    return _next(
        configuration,
        change,
        domains={**configuration.domains, domain: state},
    )


def find_change(
    configuration: Configuration,
    operation: OperationId,
) -> Change | None:
    """Return the change that ``operation`` made; None: none that is kept."""
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
    """Return the kept changes of one thing after ``revision``.

    Raises ``ConfigurationError`` when changes since then are not kept.
    """
    if configuration.revision - revision > len(configuration.changes):
        raise ConfigurationError(
            f'revision {revision} is too old to tell what changed since; '
            f'the configuration is at revision {configuration.revision}',
        )
    return tuple(
        change
        for change in configuration.changes
        if change.revision > revision
        and (change.subject, change.name) == (subject, name)
    )


def _next(
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
    named = chain(
        contract.hidden_domains,
        (shape.domain for shape in contract.guaranteed),
        (contract.spare_domain,),
    )
    for domain in named:
        if domain is not None and domain not in domains:
            text = unknown_name_message('domain', domain, domains)
            raise ConfigurationError(
                f'contract {contract.organisation!r}: {text}',
            )


def _check_tokens(
    contract: Contract,
    contracts: Mapping[OrganisationId, Contract],
) -> None:
    own = frozenset(contract.token_sha256)
    for other in contracts.values():
        if other.organisation == contract.organisation:
            continue
        if not own.isdisjoint(other.token_sha256):
            raise ConfigurationError(
                f'contract {contract.organisation!r}: token_sha256 has a '
                'token of another organisation',
            )


def has_same_content(first: Configuration, second: Configuration) -> bool:
    """Return whether both have equal contracts and domains."""
    return msgspec.structs.replace(
        first, revision=0, changes=()
    ) == msgspec.structs.replace(second, revision=0, changes=())
