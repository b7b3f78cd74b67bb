"""The operators' configuration: contracts and states of failure domains."""

from enum import Enum, unique

import msgspec

from .contract import Contract
from .ids import DomainName, OperationId, OrganisationId, Revision
from .states import DomainState

# Changes remembered in the configuration: they tell after a lost answer
# whether a write took effect, and show operators who race what came between.
MAX_KEPT_CHANGES = 128


@unique
class Subject(Enum):
    """What a change of the configuration is about."""

    CONTRACT = 'contract'
    DOMAIN = 'domain'


class Change(msgspec.Struct, frozen=True):
    """One accepted change, as other operators see it."""

    revision: Revision
    operation: OperationId
    subject: Subject
    # Organisation or domain.
    name: str
    # Plain words, one difference each.
    differences: tuple[str, ...] = ()
    operator: str = ''
    unix_ms: int = 0


class Configuration(msgspec.Struct, frozen=True):
    """One accepted configuration; ``revision`` only ever grows."""

    revision: Revision
    contracts: dict[OrganisationId, Contract]
    domains: dict[DomainName, DomainState]
    # Latest last.
    changes: tuple[Change, ...] = ()


def empty_configuration() -> Configuration:
    """Return the configuration before any operator wrote one."""
    return Configuration(revision=Revision(0), contracts={}, domains={})
