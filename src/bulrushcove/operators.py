"""What operators do: change contracts, take failure domains out and in."""

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
from .operator_api import ChangeAnswer, ChangeOrder
from .operator_outcomes import (
    Wish,
    accepted,
    check_conflict,
    check_guarantees_kept,
    log_change,
    unchanged,
)
from .states import DomainState
from .worker_api import WorkerDescription

# Other operators' changes of other things that a write may meet in a row.
MAX_TRIES = 20

GuaranteeCheck = Callable[
    [
        Mapping[OrganisationId, Contract],
        Sequence[WorkerDescription],
        Mapping[DomainName, DomainState],
    ],
    Sequence[str],
]
Workers = Callable[[], Awaitable[Sequence[WorkerDescription]]]
Share = Callable[[Configuration], Awaitable[object]]


async def share_with_nobody(_configuration: Configuration) -> None:
    """Leave an accepted configuration to be polled from the platform."""


class Operators:
    """Makes the operators' changes; "accepted" means known to be stored."""

    def __init__(
        self,
        configurations: ConfigurationStore,
        *,
        clock: Clock,
        held: Callable[[], Configuration],
        check: GuaranteeCheck,
        workers: Workers,
        share: Share = share_with_nobody,
    ) -> None:
        """Work on ``configurations``.

        ``held`` gives the configuration in force in this process, ``workers``
        the workers that ``check`` packs the guarantees into. ``share`` hands
        an accepted configuration to this VM's control before the operator is
        told, so that it spreads also when the platform fails right then.
        """
        self._share = share
        self._configurations = configurations
        self._clock = clock
        self._held = held
        self._check = check
        self._workers = workers

    @property
    def held(self) -> Configuration:
        """Return the configuration in force in this process."""
        return self._held()

    async def workers(self) -> Sequence[WorkerDescription]:
        """Return the workers that answer."""
        return await self._workers()

    async def current(self) -> Configuration:
        """Return the newest configuration; raises ``StoreUnavailableError``."""
        return (await self._load()).configuration

    async def apply_contract(
        self,
        contract: Contract,
        order: ChangeOrder,
    ) -> ChangeAnswer:
        """Create or replace a contract."""
        make = partial(apply_contract, contract=contract)
        wish = Wish(Subject.CONTRACT, contract.organisation, make)
        return await self._change(wish, order)

    async def remove_contract(
        self,
        organisation: OrganisationId,
        order: ChangeOrder,
    ) -> ChangeAnswer:
        """Remove a contract."""
        make = partial(remove_contract, organisation=organisation)
        wish = Wish(Subject.CONTRACT, organisation, make)
        return await self._change(wish, order)

    async def set_domain(
        self,
        domain: DomainName,
        state: DomainState,
        order: ChangeOrder,
    ) -> ChangeAnswer:
        """Take a failure domain out of service or bring it back."""
        make = partial(set_domain, domain=domain, state=state)
        wish = Wish(Subject.DOMAIN, domain, make, forcible=True)
        return await self._change(wish, order)

    async def _change(self, wish: Wish, order: ChangeOrder) -> ChangeAnswer:
        stored = await self._load()
        based_on = order.based_on
        if based_on is None:
            based_on = stored.configuration.revision
        for _ in range(MAX_TRIES):
            done = find_change(stored.configuration, order.operation)
            if done is not None:
                await self._share(stored.configuration)
                log_change(done)
                return accepted(wish, done, stored.configuration)
            check_conflict(wish, stored.configuration, based_on)
            following = self._make(wish, order, stored.configuration)
            broken = await self._newly_broken(stored.configuration, following)
            if order.dry_run or has_same_content(
                stored.configuration,
                following,
            ):
                return unchanged(order, stored.configuration, following, broken)
            check_guarantees_kept(wish, order, broken)
            stored = await self._configurations.compare_and_swap(
                stored, following
            )
        raise ConfigurationConflictError(
            f'{wish.subject.value} {wish.name!r}: other changes came first '
            f'{MAX_TRIES} times in a row',
        )

    async def _load(self) -> StoredConfiguration:
        held = self._held()
        stored = await self._configurations.load()
        if stored.configuration.revision >= held.revision:
            return stored
        # The store lost changes that are in force: build on those.
        return StoredConfiguration(held, stored.mod_revision)

    def _make(
        self,
        wish: Wish,
        order: ChangeOrder,
        configuration: Configuration,
    ) -> Configuration:
        return wish.make(
            configuration,
            operation=order.operation,
            operator=order.operator,
            unix_ms=self._clock.unix_ms(),
        )

    async def _newly_broken(
        self,
        before: Configuration,
        after: Configuration,
    ) -> tuple[str, ...]:
        workers = await self._workers()
        known = self._problems(before, workers)
        found = self._problems(after, workers)
        return tuple(problem for problem in found if problem not in known)

    def _problems(
        self,
        configuration: Configuration,
        workers: Sequence[WorkerDescription],
    ) -> Sequence[str]:
        # No task starts in a domain that operators have not brought in.
        domains = {
            worker.domain: DomainState.OUT_OF_SERVICE for worker in workers
        }
        domains.update(configuration.domains)
        return self._check(configuration.contracts, workers, domains)
