"""The node program as one service that starts and stops all others."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from aiohttp import web
from mode import Service

from ..batch.policy import (
    DEFAULT_REQUEST_LIMITS,
    DesiredState,
    RequestLimits,
    newer_desired_state,
)
from ..clock import MS_PER_S, Clock
from ..exceptions import PeerUnreachableError
from ..hello import NODE_ROLE, make_hello
from ..logs import log_event
from ..messages import Acknowledged, Hello, parse_message
from ..metrics import new_metrics
from ..store import WatchableStore
from ..streams import BACKLOG
from ..wire import Frame
from .address_registry import AddressRegistry
from .connection_budget import derive_budget
from .connection_guard import ConnectionGuard
from .http_ports import RequestHandler, make_metrics_handler, start_http_server
from .job_request_router import JobRequestRouter
from .leadership import Leadership
from .loop_delay import LoopDelay
from .messages import (
    CountPending,
    HandOver,
    Inquiry,
    LeaderRecord,
    Ping,
    Pong,
    StoreCall,
    Submit,
)
from .metrics import NodeMetrics
from .peers import Peers
from .prefix_cache import Entries, PrefixCache
from .relayed_store import RelayedStore, serve_store_call
from .scheduler import Scheduler
from .settings import NodeSettings
from .store_keys import LEADER_KEY
from .worker_registry import WorkerAdapter

# Part of the stop grace period that is reserved for closing connections.
CLOSE_MARGIN_S = 0.8
# The load balancer removes a VM after two failed checks, one second apart.
BALANCER_REMOVAL_S = 2.3
IDLE_CHECK_INTERVAL_S = 0.05
HAND_OVER_TIMEOUT_S = 0.3
# Followers learn of a new leader from a watch; pings cover a watch that fails.
LEADER_WATCH_WAIT_MS = 5000
LEADER_WATCH_RETRY_S = 1.0
logger = logging.getLogger(__name__)


class JobApi(Protocol):
    """HTTP API through which callers submit, query and cancel jobs."""

    is_draining: bool
    in_progress: int

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""


class PlatformAdapter(msgspec.Struct, frozen=True, kw_only=True):
    """Clients, key prefixes, decoders and factories of the platform layer."""

    store: WatchableStore
    worker_adapter: WorkerAdapter
    operator_prefix: str
    # Decodes the operators' entries as of a store revision.
    decode_desired_state: Callable[[Entries, int], DesiredState]
    make_job_api: Callable[..., JobApi]
    make_ready_handler: Callable[[Callable[[], bool]], RequestHandler]
    # Reads the settings again; called on SIGHUP.
    reload_settings: Callable[[], NodeSettings]
    # Closes all connections to the platform.
    close: Callable[[], Awaitable[None]]


class NodeApplication(Service):
    """Starts and stops the services of one VM."""

    def __init__(
        self, settings: NodeSettings, adapter: PlatformAdapter, clock: Clock
    ) -> None:
        """Create the services for the VM that ``settings`` describe."""
        super().__init__()
        self._settings = settings
        self._adapter = adapter
        self._clock = clock
        self._desired_state = DesiredState()
        self._is_draining = False
        self._metrics = NodeMetrics(new_metrics())
        self._guard = ConnectionGuard(
            derive_budget(settings.memory_mb, settings.max_descriptors),
            self._get_request_limits,
            self._metrics.record_refused_client,
        )
        hello = make_hello(settings.vm, settings.domain, NODE_ROLE)
        self._peers = Peers(
            hello,
            settings.stream_address,
            self._on_frame,
            admit=self._guard.admit_stream,
            accept_batch=min(BACKLOG, self._guard.accept_batch),
        )
        self._peers.add_addresses(settings.seed_addresses)
        self._store = RelayedStore(adapter.store, self._peers, clock)
        self._loop_delay = LoopDelay(clock, self._metrics)
        self._leadership = Leadership(
            settings, self._store, self._peers, clock, self._loop_delay
        )
        self._leadership.on_gained = self._start_scheduler
        self._leadership.on_lost = self._stop_scheduler
        self._request_router = JobRequestRouter(
            self._leadership, self._peers, self._store, clock
        )
        self._job_api = adapter.make_job_api(
            self._request_router,
            lambda: self._desired_state,
            clock,
            self._metrics.record_response,
        )
        self._operator_entries = PrefixCache(
            self._store, adapter.operator_prefix, self._update_desired_state
        )
        self._leadership.is_configured = self._has_read_configuration
        self._servers: list[web.ServerRunner] = []

    async def on_start(self) -> None:
        """Start the services in the order of their dependencies."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log_event(
            logger,
            'node.starts',
            vm=self._settings.vm,
            domain=self._settings.domain,
            incarnation=self._peers.hello.incarnation,
        )
        readiness_handler = self._adapter.make_ready_handler(self._is_ready)
        for address, handler in (
            (self._settings.caller_api_address, self._job_api.handle),
            (self._settings.readiness_address, readiness_handler),
            (
                self._settings.metrics_address,
                make_metrics_handler(self._metrics),
            ),
        ):
            self._servers.append(
                await start_http_server(
                    address,
                    handler,
                    self._guard,
                    is_internal=handler != self._job_api.handle,
                )
            )
        leader_record = PrefixCache(
            self._store,
            LEADER_KEY,
            lambda *_: self._leadership.handle_record_changed(),
            watch_wait_ms=LEADER_WATCH_WAIT_MS,
            retry_interval_s=LEADER_WATCH_RETRY_S,
        )
        registry = AddressRegistry(self._settings.vm, self._store, self._peers)
        for service in (
            self._guard,
            self._loop_delay,
            self._peers,
            registry,
            self._operator_entries,
            self._leadership,
            leader_record,
        ):
            await self.add_runtime_dependency(service)

    async def on_stop(self) -> None:
        """Drain this VM and shut down.

        Fails the readiness check and hands leadership over. Closes the servers
        once no request is in progress and the load balancer has removed this
        VM, at the latest before the stop grace period ends.
        """
        stop_began_at_s = self._clock.monotonic_s()
        self._is_draining = True
        self._job_api.is_draining = True
        log_event(logger, 'node.stops', vm=self._settings.vm)
        leader = await self._leadership.resign()
        if leader is not None:
            await self._announce_hand_over(leader)
        close_at_s = (
            stop_began_at_s
            + self._settings.stop_grace_ms / MS_PER_S
            - CLOSE_MARGIN_S
        )
        while self._clock.monotonic_s() < close_at_s:
            elapsed_s = self._clock.monotonic_s() - stop_began_at_s
            if elapsed_s > BALANCER_REMOVAL_S and not self._job_api.in_progress:
                break
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        for server in self._servers:
            await server.cleanup()
        log_event(logger, 'node.stopped', vm=self._settings.vm)

    async def on_shutdown(self) -> None:
        """Close the connections to the platform."""
        await self._adapter.close()

    def _get_request_limits(self) -> RequestLimits:
        policy = self._desired_state.policy
        return policy.request_limits if policy else DEFAULT_REQUEST_LIMITS

    def _is_ready(self) -> bool:
        return (
            not self._is_draining
            and self._desired_state.policy is not None
            and (
                self._operator_entries.is_current
                or self._leadership.is_leader_reachable
            )
        )

    def _has_read_configuration(self) -> bool:
        return self._operator_entries.has_loaded

    def _reload(self) -> None:
        try:
            settings = self._adapter.reload_settings()
        except Exception as exc:
            # Keeps the current settings, so that callers are still served.
            log_event(
                logger, 'node.reload_failed', level=logging.ERROR, error=exc
            )
            return
        self._peers.add_addresses(settings.seed_addresses)
        log_event(logger, 'node.reloaded', vm=settings.vm)

    def _update_desired_state(
        self, entries: Entries, changed: frozenset[str]
    ) -> None:
        newest = self._adapter.decode_desired_state(
            entries, self._operator_entries.revision
        )
        self._desired_state = newer_desired_state(self._desired_state, newest)
        policy = self._desired_state.policy
        log_event(
            logger,
            'standing.changed',
            changed=len(changed),
            version=policy.version if policy else None,
            closed=','.join(sorted(self._desired_state.closed_domains)) or None,
            revision=self._desired_state.revision,
        )
        if self._request_router.scheduler is not None:
            self._request_router.scheduler.set_desired_state(
                self._desired_state
            )

    async def _start_scheduler(self, leader: LeaderRecord) -> None:
        scheduler = Scheduler(
            self._settings,
            self._store,
            self._leadership,
            leader,
            worker_adapter=self._adapter.worker_adapter,
            clock=self._clock,
            metrics=self._metrics,
        )
        scheduler.set_desired_state(self._desired_state)
        self._request_router.scheduler = scheduler
        await self.add_runtime_dependency(scheduler)

    async def _stop_scheduler(self, _reason: str) -> None:
        scheduler = self._request_router.scheduler
        self._request_router.scheduler = None
        if scheduler is not None:
            await self.remove_dependency(scheduler)
            # Stopped in the background: leadership may be lost in one of the
            # scheduler's own tasks, which cannot wait for its own end.
            self.add_future(scheduler.stop())

    async def _announce_hand_over(self, leader: LeaderRecord) -> None:
        hand_over = HandOver(leader.epoch)
        await asyncio.gather(
            *(
                self._send_hand_over(address, hand_over)
                for address in self._peers.known_addresses
            )
        )

    async def _send_hand_over(self, address: str, hand_over: HandOver) -> None:
        try:
            await self._peers.request(
                address, hand_over, Acknowledged, HAND_OVER_TIMEOUT_S
            )
        except PeerUnreachableError as exc:
            # The peer notices at its next ping.
            log_event(
                logger,
                'tenure.hand_over_failed',
                level=logging.DEBUG,
                address=address,
                error=exc,
            )

    async def _on_frame(
        self, _peer: Hello, frame: Frame
    ) -> msgspec.Struct | None:
        if frame.kind == Ping.__name__:
            ping = parse_message(Ping, frame.fields)
            self._peers.add_addresses((ping.address,))
            if ping.checks_leader:
                return self._make_pong(await self._leadership.check_leader())
            return self._make_pong(self._leadership.is_leader_reachable)
        if frame.kind == HandOver.__name__:
            hand_over = parse_message(HandOver, frame.fields)
            self._leadership.handle_hand_over(hand_over.epoch)
            return Acknowledged()
        if frame.kind == StoreCall.__name__:
            call = parse_message(StoreCall, frame.fields)
            return await serve_store_call(self._adapter.store, call)
        return await self._handle_job_request(frame)

    async def _handle_job_request(self, frame: Frame) -> msgspec.Struct | None:
        if frame.kind == Submit.__name__:
            submit = parse_message(Submit, frame.fields)
            return await self._request_router.handle_submit(submit)
        if frame.kind == Inquiry.__name__:
            inquiry = parse_message(Inquiry, frame.fields)
            return await self._request_router.handle_inquiry(inquiry)
        if frame.kind == CountPending.__name__:
            count_pending = parse_message(CountPending, frame.fields)
            return await self._request_router.handle_count_pending(
                count_pending
            )

        return None

    def _make_pong(self, hears_holder: bool) -> Pong:
        return Pong(
            holder=self._leadership.leader,
            is_active=self._leadership.has_authority,
            hears_holder=hears_holder,
            addresses=self._peers.sample_addresses(),
        )
