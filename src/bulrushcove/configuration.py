"""The operators' configuration: contracts and states of failure domains."""

import msgspec

from .contract import Contract
from .ids import DomainName, OperationId, OrganisationId, Revision
from .states import DomainState

# Operations remembered in the configuration, to answer after a lost answer.
MAX_KEPT_OPERATIONS = 128


class Configuration(msgspec.Struct, frozen=True):
    """One accepted configuration; ``revision`` only ever grows."""

    revision: Revision
    contracts: dict[OrganisationId, Contract]
    domains: dict[DomainName, DomainState]
    # Latest last.
    operations: tuple[OperationId, ...] = ()


def empty_configuration() -> Configuration:
    """Return the configuration before any operator wrote one."""
    return Configuration(revision=Revision(0), contracts={}, domains={})
