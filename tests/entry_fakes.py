"""Fake backend server and an entry VM's request path, for tests."""

import asyncio
import random

from aiohttp import web

from bulrushcove.admission import Admission
from bulrushcove.at_most_once import AtMostOnce
from bulrushcove.authentication import TokenIndex, token_digest
from bulrushcove.backend_client import BackendClient
from bulrushcove.caller_routes import CallerContext, add_caller_routes
from bulrushcove.claim_writer import ClaimWriter
from bulrushcove.clock import SystemClock
from bulrushcove.configuration import Configuration
from bulrushcove.contract import Contract, RequestLimits
from bulrushcove.metrics import new_metrics
from bulrushcove.request_metrics import RequestMetrics
from bulrushcove.request_path import RequestPath
from bulrushcove.response_cache import ResponseCache
from bulrushcove.routing import Router
from bulrushcove.sender import Sender
from bulrushcove.settings import EntrySettings
from bulrushcove.states import DomainState, VmRole, VmState
from bulrushcove.vm_list import VmEntry
from tests.fake_store import FakeStore

TOKENS = {'litoral': 'Bearer pulp', 'parlstugan': 'Bearer pearls'}
SETTINGS = EntrySettings(
    port=0,
    max_body_bytes=1_000_000,
    retry_body_bytes=10_000,
    max_deadline_ms=60_000,
)


class FakeBackend:
    """Serves ``POST /v1/run`` by ``handler``, which the test may replace."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.run_ids: list[str] = []
        self.received_headers: list[dict[str, str]] = []
        self.probes = 0
        self.draining = False
        self.port = 0
        self.handler = echo

    def application(self) -> web.Application:
        application = web.Application(client_max_size=10_000_000)
        application.router.add_post('/v1/run', self.run)
        application.router.add_get('/v1/state', self.state)
        return application

    async def run(self, request: web.Request) -> web.StreamResponse:
        self.received_headers.append(dict(request.headers))
        return await self.handler(self, request)

    async def state(self, _request: web.Request) -> web.Response:
        self.probes += 1
        return web.json_response(
            {
                'backend': self.name,
                'slots': 8,
                'busy': 0,
                'leaving': self.draining,
            }
        )


async def echo(backend: FakeBackend, request: web.Request) -> web.Response:
    body = await request.read()
    backend.run_ids.append(request.headers['X-Request-Id'])
    return web.Response(body=b'answer to ' + body)


async def busy(_backend: FakeBackend, _request: web.Request) -> web.Response:
    return web.Response(status=503, headers={'X-Backend-State': 'busy'})


async def draining(
    _backend: FakeBackend, _request: web.Request
) -> web.Response:
    return web.Response(status=503, headers={'X-Backend-State': 'leaving'})


async def disconnect_after_reading(
    backend: FakeBackend, request: web.Request
) -> web.Response:
    await request.read()
    backend.run_ids.append(request.headers['X-Request-Id'])
    request.transport.abort()
    return web.Response()


async def unresponsive(
    backend: FakeBackend, request: web.Request
) -> web.Response:
    await request.read()
    backend.run_ids.append(request.headers['X-Request-Id'])
    await asyncio.sleep(3600)
    return web.Response()


async def truncate(backend: FakeBackend, request: web.Request) -> web.Response:
    await request.read()
    backend.run_ids.append(request.headers['X-Request-Id'])
    response = web.StreamResponse()
    response.content_length = 2_000_000
    await response.prepare(request)
    await response.write(b'x' * 1_000_000)
    request.transport.close()
    return response


def contract_of(organisation: str, **limits: int) -> Contract:
    return Contract(
        organisation=organisation,
        token_sha256=(token_digest(TOKENS[organisation]),),
        requests=RequestLimits(**limits),
    )


def configuration_of(*contracts: Contract) -> Configuration:
    return Configuration(
        revision=1,
        contracts={contract.organisation: contract for contract in contracts},
        domains={'north': DomainState.IN_SERVICE},
    )


def backend_vm(
    backend: FakeBackend, domain: str = 'north', state: str = 'live'
) -> VmEntry:
    return VmEntry(
        vm=backend.name,
        role=VmRole.BACKEND,
        domain=domain,
        address='127.0.0.1',
        port=backend.port,
        state=VmState(state),
    )


class EntryBench:
    """Request path of an entry VM in front of fake backend servers."""

    def __init__(
        self,
        *backends: FakeBackend,
        name: str = 'e1',
        store: FakeStore | None = None,
        **limits: int,
    ) -> None:
        self.router = Router('north', random.Random(1))
        self.router.update([backend_vm(backend) for backend in backends])
        self.client = BackendClient()
        clock = SystemClock()
        self.store = store or FakeStore()
        self.claims = ClaimWriter(
            self.store, 'e1', name, 3_600_000, lambda: 1, clock
        )
        self.metrics = RequestMetrics(new_metrics())
        admission = Admission()
        self.admission = admission
        self.path = RequestPath(
            admission,
            self.router,
            AtMostOnce(ResponseCache(60), self.claims, clock),
            Sender(
                self.router,
                self.client,
                admission.mean_service_s,
                self.metrics.record_cross_domain_bytes,
                clock,
            ),
            clock,
        )
        self.configuration = configuration_of(
            contract_of('litoral', **limits), contract_of('parlstugan')
        )

    def application(self) -> web.Application:
        application = web.Application()
        context = CallerContext(
            settings=SETTINGS,
            configuration=lambda: self.configuration,
            tokens=TokenIndex(),
            path=self.path,
            clock=SystemClock(),
            metrics=self.metrics,
        )
        add_caller_routes(application.router, context)

        async def run_services(_application: web.Application):
            await self.claims.start()
            yield
            await self.claims.stop()
            await self.client.close()

        application.cleanup_ctx.append(run_services)
        return application


def request_headers(request: str = 'r1', **more: str) -> dict[str, str]:
    headers = {
        'Authorization': TOKENS['litoral'],
        'X-Bulrushcove-Request': request,
        'X-Bulrushcove-Idempotent': 'true',
    }
    headers.update(
        (name.replace('_', '-'), found) for name, found in more.items()
    )
    return headers
