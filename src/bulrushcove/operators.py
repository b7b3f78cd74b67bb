"""Operator changes of contracts and of the service state of domains."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial

from .clock import Clock
from .configuration import Configuration, Subject
from .configuration_changes import (
    apply_contract,
    find_change,
    has_same_content,
    remove_contract,
    set_domain,
)
from .configuration_store import ConfigurationStore, StoredConfiguration
from .contract import Contract
from .exceptions import ConfigurationConflictError
from .ids import DomainName, OrganisationId
from .operator_api import ChangeOrder, ChangeResponse
from .operator_outcomes import (
    RequestedChange,
    check_conflict,
    check_guarantees_kept,
    log_change,
    make_accepted_response,
    make_unchanged_response,
)
from .states import DomainState
from .worker_api import WorkerDescription

# Each retry follows a concurrent change of another contract or domain.
MAX_WRITE_ATTEMPTS = 20

GuaranteeCheck = Callable[
    [
        Mapping[OrganisationId, Contract],
        Sequence[WorkerDescription],
        Mapping[DomainName, DomainState],
    ],
    Sequence[str],
]
DescribeWorkers = Callable[[], Awaitable[Sequence[WorkerDescription]]]
PushConfiguration = Callable[[Configuration], Awaitable[object]]


async def do_not_push(_configuration: Configuration) -> None:
    """Do nothing: other processes poll the configuration from the platform."""


class OperatorService:
    """Applies operator changes; accepted means confirmed to be stored."""

    def __init__(
        self,
        configurations: ConfigurationStore,
        *,
        clock: Clock,
        active_configuration: Callable[[], Configuration],
        check: GuaranteeCheck,
        workers: DescribeWorkers,
        push: PushConfiguration = do_not_push,
    ) -> None:
        """Use ``configurations`` to read and write the configuration.

        ``active_configuration`` returns the configuration in force in this
        process, ``workers`` the workers that ``check`` packs the guarantees
        into. ``push`` passes an accepted configuration to this VM's control
        before the operator gets a response, so that it reaches the other VMs
        even when the platform fails at that moment.
        """
        self._push = push
        self._configurations = configurations
        self._clock = clock
        self._active_configuration = active_configuration
        self._check = check
        self._workers = workers

    @property
    def active_configuration(self) -> Configuration:
        """Return the configuration in force in this process."""
        return self._active_configuration()

    async def workers(self) -> Sequence[WorkerDescription]:
        """Return the descriptions of the listed workers that ever responded."""
        return await self._workers()

    async def current(self) -> Configuration:
        """Return the newest configuration; raises ``StoreUnavailableError``."""
        return (await self._load()).configuration

    async def apply_contract(
        self,
        contract: Contract,
        order: ChangeOrder,
    ) -> ChangeResponse:
        """Create or replace a contract."""
        apply = partial(apply_contract, contract=contract)
        requested = RequestedChange(
            Subject.CONTRACT, contract.organisation, apply
        )
        return await self._change(requested, order)

    async def remove_contract(
        self,
        organisation: OrganisationId,
        order: ChangeOrder,
    ) -> ChangeResponse:
        """Remove a contract."""
        apply = partial(remove_contract, organisation=organisation)
        requested = RequestedChange(Subject.CONTRACT, organisation, apply)
        return await self._change(requested, order)

    async def set_domain(
        self,
        domain: DomainName,
        state: DomainState,
        order: ChangeOrder,
    ) -> ChangeResponse:
        """Take a failure domain out of service or bring it back."""
        apply = partial(set_domain, domain=domain, state=state)
        requested = RequestedChange(
            Subject.DOMAIN, domain, apply, can_be_forced=True
        )
        return await self._change(requested, order)

    async def _change(
        self, requested: RequestedChange, order: ChangeOrder
    ) -> ChangeResponse:
        stored = await self._load()
        based_on = order.based_on
        if based_on is None:
            based_on = stored.configuration.revision
        for _ in range(MAX_WRITE_ATTEMPTS):
            applied = find_change(stored.configuration, order.operation)
            if applied is not None:
                await self._push(stored.configuration)
                log_change(applied)
                return make_accepted_response(
                    requested, applied, stored.configuration
                )
            check_conflict(requested, stored.configuration, based_on)
            updated = self._apply(requested, order, stored.configuration)
            broken = await self._find_newly_broken_guarantees(
                stored.configuration, updated
            )
            if order.dry_run or has_same_content(
                stored.configuration,
                updated,
            ):
                return make_unchanged_response(
                    order, stored.configuration, updated, broken
                )
            check_guarantees_kept(requested, order, broken)
            stored = await self._configurations.compare_and_swap(
                stored, updated
            )
        raise ConfigurationConflictError(
            f'{requested.subject.value} {requested.name!r}: other changes '
            f'were stored first, {MAX_WRITE_ATTEMPTS} times in a row',
        )

    async def _load(self) -> StoredConfiguration:
        active_configuration = self._active_configuration()
        stored = await self._configurations.load()
        if stored.configuration.revision >= active_configuration.revision:
            return stored
        # The store lost changes that are in force, so the next change is
        # based on the active configuration.
        return StoredConfiguration(active_configuration, stored.mod_revision)

    def _apply(
        self,
        requested: RequestedChange,
        order: ChangeOrder,
        configuration: Configuration,
    ) -> Configuration:
        return requested.apply(
            configuration,
            operation=order.operation,
            operator=order.operator,
            unix_ms=self._clock.unix_ms(),
        )

    async def _find_newly_broken_guarantees(
        self,
        before: Configuration,
        after: Configuration,
    ) -> tuple[str, ...]:
        workers = await self._workers()
        problems_before = self._find_problems(before, workers)
        problems_after = self._find_problems(after, workers)
        return tuple(
            problem
            for problem in problems_after
            if problem not in problems_before
        )

    def _find_problems(
        self,
        configuration: Configuration,
        workers: Sequence[WorkerDescription],
    ) -> Sequence[str]:
        # A domain that operators never brought into service runs no task.
        domains = {
            worker.domain: DomainState.OUT_OF_SERVICE for worker in workers
        }
        domains.update(configuration.domains)
        return self._check(configuration.contracts, workers, domains)
