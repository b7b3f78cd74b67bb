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

# Checks per lease for an active control of the own and of other domains.
LOCAL_CHECKS_PER_LEASE = 12
REMOTE_CHECKS_PER_LEASE = 2
RENEWALS_PER_LEASE = 3
# The control of a domain counts as active while its view is no older.
MAX_VIEW_AGE_MS = 2500
# A remote domain is resigned when VMs of that domain have been reachable for
# this long; it also limits how often that is repeated if they cannot win it.
HAND_BACK_AFTER_S = 60.0


class DomainElections(Service):
    """Campaigns for domains without a control, preferring the own domain."""

    def __init__(
        self,
        own_domain: DomainName,
        election: Election,
        context: ControllerContext,
    ) -> None:
        """Campaign once started.

        A remote domain must first have been without an active control for
        ``remote_takeover_ms``, so that its own VMs campaign before this one.
        """
        super().__init__()
        self.controllers: dict[DomainName, DomainController] = {}
        self._own_domain = own_domain
        self._election = election
        self._context = context
        self._clock = context.clock
        self._lease_s = context.settings.control_lease_ms / MS_PER_S
        self._absent_since_s: dict[DomainName, float] = {}
        # Since when a remote domain that is controlled here has local VMs.
        self._local_vms_since_s: dict[DomainName, float] = {}
        self._checked_at_s: dict[DomainName, float] = {}
        self._is_draining = False

    async def handle_notice(self, notice: JobNotice) -> JobStanding:
        """Pass ``notice`` to the controller of its domain, if it runs here.

        Returns why the job waits, if known.
        """
        controller = self.controllers.get(notice.domain)
        if controller is None:
            return JobStanding()
        controller.request_scan()
        reasons = controller.scheduler.wait_reasons
        return JobStanding(wait_reason=reasons.get(notice.job, ''))

    async def hand_over(self) -> None:
        """Stop all controllers and resign from their domains.

        Campaigning ends, as this VM must not win these domains again.
        """
        self._is_draining = True
        for domain in tuple(self.controllers):
            controller = self.controllers.pop(domain)
            await controller.stop()
            await self._election.resign(controller.domain_lease)

    async def on_stop(self) -> None:
        """Hand over the domains that are still controlled here."""
        await self.hand_over()

    @Service.task
    async def _campaign_locally(self) -> None:
        interval_s = self._lease_s / LOCAL_CHECKS_PER_LEASE
        while not self.should_stop:
            await self._stop_fenced()
            await self._campaign(self._own_domain)
            await self.sleep(interval_s)

    @Service.task
    async def _campaign_remotely(self) -> None:
        interval_s = self._lease_s / REMOTE_CHECKS_PER_LEASE
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
        """Resign from a remote domain that has had local VMs for long enough.

        Polling workers in another region is slow and its traffic costs money.
        """
        controller = self.controllers.get(domain)
        has_local_vm = _has_local_vm(self._context.statuses(), domain)
        if controller is None or not has_local_vm:
            self._local_vms_since_s.pop(domain, None)
            return
        now_s = self._clock.monotonic_s()
        since_s = self._local_vms_since_s.setdefault(domain, now_s)
        if now_s - since_s < HAND_BACK_AFTER_S:
            return
        self._local_vms_since_s.pop(domain)
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
        if self._is_draining or self._may_skip_check(domain):
            return
        try:
            domain_lease = await self._campaign_if_absent(domain)
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
        if self._is_draining:
            await self._election.resign(domain_lease)
        else:
            await self._start_controller(domain_lease)

    def _may_skip_check(self, domain: DomainName) -> bool:
        """Return whether to skip a check of the store, else record the check.

        One check per lease is enough as long as this VM receives views of
        the domain's control and the control is not draining.
        """
        now_s = self._clock.monotonic_s()
        checked_at_s = self._checked_at_s.get(domain, -self._lease_s)
        if now_s < checked_at_s + self._lease_s and self._has_recent_view(
            domain
        ):
            return True
        self._checked_at_s[domain] = now_s
        return False

    def _has_recent_view(self, domain: DomainName) -> bool:
        ignored_vms = {
            status.vm for status in self._context.statuses() if status.leaving
        }
        ignored_vms.add(self._context.vm)
        return any(
            view.domain == domain
            and view.age_ms <= MAX_VIEW_AGE_MS
            and view.control not in ignored_vms
            for view in self._context.views()
        )

    async def _campaign_if_absent(
        self, domain: DomainName
    ) -> DomainLease | None:
        if await self._election.find_active_control(domain) is not None:
            self._absent_since_s.pop(domain, None)
            return None
        now_s = self._clock.monotonic_s()
        since_s = self._absent_since_s.setdefault(domain, now_s)
        takeover_s = self._context.settings.remote_takeover_ms / MS_PER_S
        if domain != self._own_domain and now_s - since_s < takeover_s:
            return None
        return await self._election.campaign(domain)

    async def _start_controller(self, domain_lease: DomainLease) -> None:
        log_event(
            logger,
            'control.active',
            domain=domain_lease.domain,
            epoch=domain_lease.epoch,
        )
        previous = self.controllers.pop(domain_lease.domain, None)
        if previous is not None:
            await previous.stop()
        controller = DomainController(domain_lease, self._context)
        self.controllers[domain_lease.domain] = controller
        await self.add_runtime_dependency(controller)

    async def _stop_fenced(self) -> None:
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


def _has_local_vm(statuses: Iterable[VmStatus], domain: DomainName) -> bool:
    return any(
        status.domain == domain and status.reachable and not status.leaving
        for status in statuses
    )
