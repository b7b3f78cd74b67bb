"""Exchanges heartbeats, configuration and job notices with other controls."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from mode import Service

from .clock import MS_PER_S, Clock
from .configuration_holder import ConfigurationHolder
from .exceptions import PeerUnreachableError, WireError
from .hello import ENTRY_ROLE
from .logs import log_event
from .membership import Membership
from .messages import (
    Acknowledged,
    ClusterView,
    ConfigurationPush,
    ConfigurationRequest,
    DomainView,
    Heartbeat,
    Hello,
    JobNotice,
    JobStanding,
    VmListRequest,
    VmStatus,
    parse_message,
)
from .peer_links import PeerLinks, seed_entries
from .permit import StartPermits
from .settings import Settings
from .states import VmRole
from .streams import StreamClient, StreamServer
from .vm_list import VmEntry, VmList
from .vm_list_poll import VmListPoll
from .wire import Frame

NOTICE_TIMEOUT_S = 1.0

NoticeHandler = Callable[[JobNotice], Awaitable[JobStanding]]

logger = logging.getLogger(__name__)


class Peers(Service):
    """Sends heartbeats on one stream to each peer and handles their frames."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        session: aiohttp.ClientSession,
        hello: Hello,
        configuration_holder: ConfigurationHolder,
        permits: StartPermits,
    ) -> None:
        """Listen and connect once started; ``session`` reads the VM list."""
        super().__init__()
        self.is_draining = False
        # The application replaces these two before the start.
        self.on_notice: NoticeHandler = _ignore_notice
        self.platform_reachable: Callable[[], bool] = bool
        self._settings = settings
        self._clock = clock
        self._hello = hello
        self._configuration_holder = configuration_holder
        self._permits = permits
        self._membership = Membership(settings.control.peer_silence_ms)
        self._links = PeerLinks(hello, self._on_frame)
        self._vm_list = VmListPoll(
            settings.platform,
            session,
            self._links.update_peers,
        )
        self._server = StreamServer(
            settings.control.host,
            settings.control.stream_port,
            hello,
            self._on_frame,
        )
        configuration_holder.add_listener(
            lambda current: self._server.push(
                ENTRY_ROLE,
                ConfigurationPush(current),
            ),
        )

    @property
    def vms(self) -> tuple[VmEntry, ...]:
        """Return the VMs of the newest list."""
        return self._vm_list.vms

    @property
    def statuses(self) -> tuple[VmStatus, ...]:
        """Return the status of each entry VM, including this one."""
        now_s = self._clock.monotonic_s()
        self._membership.record_heartbeat(self._heartbeat(), now_s)
        entries = tuple(
            entry for entry in self.vms if entry.role is VmRole.ENTRY
        )
        return self._membership.statuses(entries, now_s)

    def domain_views(self) -> tuple[DomainView, ...]:
        """Return the newest view of each failure domain."""
        return self._membership.domain_views(self._clock.monotonic_s())

    def publish(self, view: DomainView) -> None:
        """Record the view of a domain that this control is active for.

        Heartbeats carry it to the peers, ``ClusterView`` to the entry.
        """
        self._membership.record_view(view, self._clock.monotonic_s())

    async def notify_job(self, notice: JobNotice) -> JobStanding:
        """Pass ``notice`` to the active control of its domain.

        Returns what that control decided about the job. Raises
        ``PeerUnreachableError``; the control then finds the record in its
        next scan.
        """
        control = self._membership.find_active_control(
            notice.domain,
            self._clock.monotonic_s(),
        )
        if control == self._hello.vm:
            return await self.on_notice(notice)
        client = self._links.get(control) if control else None
        if client is None:
            raise PeerUnreachableError(
                f'domain {notice.domain!r} has no known active control',
            )
        return await client.request(notice, JobStanding, NOTICE_TIMEOUT_S)

    async def on_start(self) -> None:
        """Accept streams and connect to the peers."""
        await self.add_runtime_dependency(self._server)
        await self.add_runtime_dependency(self._links)
        seeds = seed_entries(self._settings.control.peer_addresses)
        await self._links.update_peers(seeds)
        await self.add_runtime_dependency(self._vm_list)

    @Service.task
    async def _send_heartbeats(self) -> None:
        interval_s = self._settings.control.heartbeat_ms / MS_PER_S
        # Spreads the heartbeats of VMs that start at the same time.
        await self.sleep(random.uniform(0, interval_s))
        while not self.should_stop:
            await self._exchange_with_all(interval_s)
            self._push_cluster_view()
            await self.sleep(interval_s)

    async def _exchange_with_all(self, timeout_s: float) -> None:
        exchanges = [
            self._exchange_with_peer(client, timeout_s)
            for client in self._links.connected()
        ]
        await asyncio.gather(*exchanges)

    async def _exchange_with_peer(
        self, client: StreamClient, timeout_s: float
    ) -> None:
        requested_at_s = self._clock.monotonic_s()
        try:
            response = await client.request(
                self._heartbeat(), Heartbeat, timeout_s
            )
            self._membership.record_heartbeat(
                response, self._clock.monotonic_s()
            )
            await self._catch_up(client, response, timeout_s)
        except (PeerUnreachableError, WireError):
            return
        if response.proof_age_ms is not None:
            # Counted from before the request, so that the proof is never
            # assumed to be newer than it is.
            proved_at_s = requested_at_s - response.proof_age_ms / MS_PER_S
            self._permits.record_proof(response.revision, proved_at_s)

    async def _catch_up(
        self,
        client: StreamClient,
        response: Heartbeat,
        timeout_s: float,
    ) -> None:
        if not self.vms:
            listed = await client.request(VmListRequest(), VmList, timeout_s)
            await self._vm_list.adopt_if_empty(listed)
        own_revision = self._configuration_holder.current.revision
        if response.revision <= own_revision:
            return
        push = await client.request(
            ConfigurationRequest(newer_than=own_revision),
            ConfigurationPush,
            timeout_s,
        )
        if push.configuration and self._configuration_holder.adopt(
            push.configuration
        ):
            log_event(
                logger,
                'configuration.adopted',
                revision=push.configuration.revision,
                source=response.vm,
            )

    async def _on_frame(
        self,
        peer: Hello,
        frame: Frame,
    ) -> msgspec.Struct | None:
        if frame.kind == Heartbeat.__name__:
            heartbeat = parse_message(Heartbeat, frame.fields)
            self._membership.record_heartbeat(
                heartbeat, self._clock.monotonic_s()
            )
            return self._heartbeat()
        if frame.kind == ConfigurationRequest.__name__:
            request = parse_message(ConfigurationRequest, frame.fields)
            return _configuration_push(
                self._configuration_holder, request.newer_than
            )
        if frame.kind == VmListRequest.__name__:
            return VmList(self.vms)
        if frame.kind == ConfigurationPush.__name__:
            self._handle_push(
                peer, parse_message(ConfigurationPush, frame.fields)
            )
            return Acknowledged()
        if frame.kind == JobNotice.__name__:
            notice = parse_message(JobNotice, frame.fields)
            return await self._handle_notice(peer, notice)
        raise WireError(f'unknown frame kind {frame.kind!r}')

    def _handle_push(self, peer: Hello, push: ConfigurationPush) -> None:
        if push.configuration is None:
            return
        is_newer = self._configuration_holder.adopt(push.configuration)
        if is_newer and peer.role == ENTRY_ROLE:
            # The entry has just accepted it: peers must get it even if the
            # platform fails before their next poll.
            self._links.send_to_all(push)

    async def _handle_notice(
        self, peer: Hello, notice: JobNotice
    ) -> JobStanding:
        # Only a notice from the entry is passed on to another control;
        # otherwise controls could forward it in a cycle.
        handle = self.notify_job if peer.role == ENTRY_ROLE else self.on_notice
        try:
            return await handle(notice)
        except PeerUnreachableError as exc:
            log_event(
                logger,
                'job.notice_not_passed',
                job=notice.job,
                domain=notice.domain,
                error=exc,
            )
            return JobStanding()

    def _heartbeat(self) -> Heartbeat:
        now_s = self._clock.monotonic_s()
        return Heartbeat(
            vm=self._hello.vm,
            incarnation=self._hello.incarnation,
            revision=self._configuration_holder.current.revision,
            proof_age_ms=self._permits.proof_age_ms(now_s),
            domains=self._membership.domain_views(now_s),
            leaving=self.is_draining,
        )

    def _push_cluster_view(self) -> None:
        self._server.push(
            ENTRY_ROLE,
            ClusterView(
                vm_statuses=self.statuses,
                domains=self.domain_views(),
                vms=self.vms,
                platform_reachable=self.platform_reachable(),
                permit_age_ms=self._permits.permit_ages_ms(
                    self._configuration_holder.current,
                    self._clock.monotonic_s(),
                    self._settings.control.start_permit_ttl_ms,
                ),
            ),
        )


def _configuration_push(
    configuration_holder: ConfigurationHolder,
    newer_than: int,
) -> ConfigurationPush:
    if configuration_holder.current.revision <= newer_than:
        return ConfigurationPush(configuration=None)
    return ConfigurationPush(configuration=configuration_holder.current)


async def _ignore_notice(_notice: JobNotice) -> JobStanding:
    """Ignore the notice; the next scan finds the job."""
    return JobStanding()
