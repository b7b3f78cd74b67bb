"""Runs the controllers of the domains that this VM is elected for."""

import asyncio
import logging
from collections.abc import Iterable

from mode import Service

from .clock import MS_PER_S
from .controller_context import ControllerContext
from .domain_controller import DomainController
from .election import DomainLease, Election
from .exceptions import StoreError
from .ids import DomainName
from .logs import log_event
from .messages import JobNotice, JobStanding, VmStatus

logger = logging.getLogger(__name__)

# Own domains are looked at this often in a lease, others of them seldom.
LOCAL_POLLS_PER_LEASE = 12
REMOTE_POLLS_PER_LEASE = 2
RENEWALS_PER_LEASE = 3
# A domain whose view is younger than this has a live control.
FRESH_VIEW_MS = 2500
# Near VMs that cannot win the domain get it offered this seldom.
HAND_BACK_S = 60.0


class DomainElections(Service):
    """Campaigns for domains without a control, own one first."""

    def __init__(
        self,
        own_domain: DomainName,
        election: Election,
        context: ControllerContext,
    ) -> None:
        """Campaign once started; VMs of ``own_domain`` go first there."""
        super().__init__()
        self.controllers: dict[DomainName, DomainController] = {}
        self._own_domain = own_domain
        self._election = election
        self._context = context
        self._clock = context.clock
        self._lease_s = context.settings.control_lease_ms / MS_PER_S
        self._absent_since_s: dict[DomainName, float] = {}
        # Since when VMs of a domain that is served from afar are there.
        self._near_since_s: dict[DomainName, float] = {}
        self._looked_at_s: dict[DomainName, float] = {}
        self._is_leaving = False

    async def handle_notice(self, notice: JobNotice) -> JobStanding:
        """Pass ``notice`` to the controller of its domain, if it runs here."""
        controller = self.controllers.get(notice.domain)
        if controller is None:
            return JobStanding()
        controller.request_scan()
        reasons = controller.scheduler.wait_reasons
        return JobStanding(wait_reason=reasons.get(notice.job, ''))

    async def hand_over(self) -> None:
        """Stop all controllers and let others take over at once.

        Campaigns no more: this VM must not win what it has just given up.
        """
        self._is_leaving = True
        for domain in tuple(self.controllers):
            controller = self.controllers.pop(domain)
            await controller.stop()
            await self._election.resign(controller.domain_lease)

    async def on_stop(self) -> None:
        """Hand over what is still held."""
        await self.hand_over()

    @Service.task
    async def _campaign_locally(self) -> None:
        interval_s = self._lease_s / LOCAL_POLLS_PER_LEASE
        while not self.should_stop:
            await self._end_fenced()
            await self._campaign(self._own_domain)
            await self.sleep(interval_s)

    @Service.task
    async def _campaign_remotely(self) -> None:
        interval_s = self._lease_s / REMOTE_POLLS_PER_LEASE
        while not self.should_stop:
            await self.sleep(interval_s)
            for domain in self._remote_domains():
                await self._hand_back(domain)
                await self._campaign(domain)

    @Service.task
    async def _renew(self) -> None:
        while not self.should_stop:
            await asyncio.gather(
                *(
                    self._renew_one(controller.domain_lease)
                    for controller in self.controllers.values()
                )
            )
            await self.sleep(self._lease_s / RENEWALS_PER_LEASE)

    async def _hand_back(self, domain: DomainName) -> None:
        """Give a domain back to its own VMs, once they are there to stay.

        Rounds over the links between regions are slow and cost money.
        """
        controller = self.controllers.get(domain)
        has_near = _has_near_vm(self._context.statuses(), domain)
        if controller is None or not has_near:
            self._near_since_s.pop(domain, None)
            return
        now_s = self._clock.monotonic_s()
        since_s = self._near_since_s.setdefault(domain, now_s)
        if now_s - since_s < HAND_BACK_S:
            return
        self._near_since_s.pop(domain)
        self._absent_since_s[domain] = now_s
        self.controllers.pop(domain)
        await controller.stop()
        await self._election.resign(controller.domain_lease)

    async def _renew_one(self, domain_lease: DomainLease) -> None:
        if domain_lease.is_lost:
            return
        try:
            await self._election.renew(domain_lease)
        except StoreError:
            return
        if domain_lease.is_lost:
            log_event(
                logger,
                'control.lease_lapsed',
                level=logging.WARNING,
                domain=domain_lease.domain,
                epoch=domain_lease.epoch,
            )

    async def _campaign(self, domain: DomainName) -> None:
        controller = self.controllers.get(domain)
        if controller is not None and not controller.domain_lease.is_lost:
            return
        if self._is_leaving or self._is_served(domain):
            return
        try:
            domain_lease = await self._try(domain)
        except StoreError as exc:
            log_event(
                logger,
                'election.failed',
                level=logging.DEBUG,
                domain=domain,
                error=exc,
            )
            return
        if domain_lease is None:
            return
        if self._is_leaving:
            await self._election.resign(domain_lease)
        else:
            await self._begin(domain_lease)

    def _is_served(self, domain: DomainName) -> bool:
        """Return whether a look at the store may be spared for now.

        While peers hear from the domain's control, one look a lease is
        enough; news of its leaving or its silence end that.
        """
        now_s = self._clock.monotonic_s()
        looked_at_s = self._looked_at_s.get(domain, -self._lease_s)
        if now_s < looked_at_s + self._lease_s and self._is_heard(domain):
            return True
        self._looked_at_s[domain] = now_s
        return False

    def _is_heard(self, domain: DomainName) -> bool:
        not_counted = {
            status.vm for status in self._context.statuses() if status.leaving
        }
        not_counted.add(self._context.vm)
        return any(
            view.domain == domain
            and view.age_ms <= FRESH_VIEW_MS
            and view.control not in not_counted
            for view in self._context.views()
        )

    async def _try(self, domain: DomainName) -> DomainLease | None:
        if await self._election.find_active_control(domain) is not None:
            self._absent_since_s.pop(domain, None)
            return None
        now_s = self._clock.monotonic_s()
        since_s = self._absent_since_s.setdefault(domain, now_s)
        takeover_s = self._context.settings.remote_takeover_ms / MS_PER_S
        if domain != self._own_domain and now_s - since_s < takeover_s:
            return None
        return await self._election.campaign(domain)

    async def _begin(self, domain_lease: DomainLease) -> None:
        log_event(
            logger,
            'control.active',
            domain=domain_lease.domain,
            epoch=domain_lease.epoch,
        )
        earlier = self.controllers.pop(domain_lease.domain, None)
        if earlier is not None:
            await earlier.stop()
        controller = DomainController(domain_lease, self._context)
        self.controllers[domain_lease.domain] = controller
        await self.add_runtime_dependency(controller)

    async def _end_fenced(self) -> None:
        for domain, controller in tuple(self.controllers.items()):
            if controller.is_fenced:
                log_event(
                    logger,
                    'control.fenced',
                    domain=domain,
                    epoch=controller.domain_lease.epoch,
                    by_epoch=controller.table.fenced_by,
                )
                self.controllers.pop(domain)
                await controller.stop()
                await self._election.resign(controller.domain_lease)

    def _remote_domains(self) -> list[DomainName]:
        listed = {vm.domain for vm in self._context.vms()}
        listed.update(self._context.configuration_holder.current.domains)
        return sorted(listed - {self._own_domain})


def _has_near_vm(statuses: Iterable[VmStatus], domain: DomainName) -> bool:
    return any(
        status.domain == domain and status.reachable and not status.leaving
        for status in statuses
    )
