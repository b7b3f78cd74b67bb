"""Operator configuration: contracts and states of failure domains."""

from enum import Enum, unique

import msgspec

from .contract import Contract
from .ids import DomainName, OperationId, OrganisationId, Revision
from .states import DomainState

# The kept changes tell whether a write whose response was lost took effect,
# and show an operator which changes of others came first.
MAX_KEPT_CHANGES = 128


@unique
class Subject(Enum):
    """Kind of object that a change of the configuration concerns."""

    CONTRACT = 'contract'
    DOMAIN = 'domain'


class Change(msgspec.Struct, frozen=True):
    """An accepted change, as shown to operators."""

    revision: Revision
    operation: OperationId
    subject: Subject
    # Name of the organisation or of the failure domain.
    name: str
    # One readable line for each difference.
    differences: tuple[str, ...] = ()
    operator: str = ''
    unix_ms: int = 0


class Configuration(msgspec.Struct, frozen=True):
    """An accepted configuration; each has a higher ``revision``."""

    revision: Revision
    contracts: dict[OrganisationId, Contract]
    domains: dict[DomainName, DomainState]
    # Newest last, at most ``MAX_KEPT_CHANGES``.
    changes: tuple[Change, ...] = ()


def empty_configuration() -> Configuration:
    """Return the configuration that applies until an operator changes it."""
    return Configuration(revision=Revision(0), contracts={}, domains={})
