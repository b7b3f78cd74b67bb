"""Stand-in for backend servers; one process hosts several."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import msgspec
from absl import app, flags
from aiohttp import web

from bulrushcove.clock import MS_PER_S, SystemClock
from bulrushcove.ids import BackendId, OrganisationId, RequestId
from dev.history.events import EventLog, RequestStep
from dev.standins import standin_flags
from dev.standins.backend_state import (
    SLOTS,
    BackendDescription,
    BackendState,
    Refusal,
    parse_work,
)
from dev.standins.faults import FaultInjector
from dev.standins.hosting import (
    HostedServer,
    json_response,
    running_servers,
    wait_for_signal,
)
from dev.standins.response_body import make_response_body

STATE_HEADER = 'X-Backend-State'
SERVICE_MS_HEADER = 'X-Service-Ms'


class StateResponse(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/state``."""

    backend: BackendId
    slots: int
    busy: int
    leaving: bool


def backend_routes(
    state: BackendState, count_connections: Callable[[], int]
) -> list[web.RouteDef]:
    """Return the routes that run requests and report the state."""

    async def run(request: web.Request) -> web.Response:
        organisation = OrganisationId(request.headers['X-Organisation'])
        request_id = RequestId(request.headers['X-Request-Id'])
        state.log_step(RequestStep.ARRIVE, organisation, request_id)
        body = await request.read()
        refusal = state.find_refusal(count_connections())
        if refusal is not None:
            state.log_step(RequestStep.REFUSE, organisation, request_id)
            return _refusal_response(refusal)
        work = parse_work(body)
        service_ms = int(
            request.headers.get(SERVICE_MS_HEADER, work.service_ms)
        )
        state.busy += 1
        state.log_step(RequestStep.RUN, organisation, request_id)
        try:
            await asyncio.sleep(service_ms / MS_PER_S)
        finally:
            state.busy -= 1
            state.log_step(RequestStep.END, organisation, request_id)
        response = make_response_body(
            organisation, request_id, body, work.answer_bytes
        )
        return web.Response(
            body=response,
            content_type='application/json',
            headers=_draining_headers(state),
        )

    async def get_state(_request: web.Request) -> web.Response:
        return json_response(
            StateResponse(
                backend=state.description.backend,
                slots=SLOTS,
                busy=state.busy,
                leaving=state.is_draining,
            )
        )

    return [web.post('/v1/run', run), web.get('/v1/state', get_state)]


def draining_routes(states: list[BackendState]) -> list[web.RouteDef]:
    """Return the admin route that switches draining on or off."""
    by_name = {str(state.description.backend): state for state in states}

    async def put_draining(request: web.Request) -> web.Response:
        state = by_name[request.match_info['server']]
        state.is_draining = msgspec.json.decode(await request.read(), type=bool)
        return web.Response(status=web.HTTPNoContent.status_code)

    return [web.put('/leaving/{server}', put_draining)]


def _refusal_response(refusal: Refusal) -> web.Response:
    return web.Response(
        status=web.HTTPServiceUnavailable.status_code,
        headers={STATE_HEADER: refusal.value},
    )


def _draining_headers(state: BackendState) -> dict[str, str]:
    if state.is_draining:
        return {STATE_HEADER: Refusal.DRAINING.value}
    return {}


def make_backend_server(state: BackendState) -> HostedServer:
    """Return the HTTP server of one backend server."""
    servers: list[HostedServer] = []

    def count_connections() -> int:
        return servers[0].connections

    routes = backend_routes(state, count_connections)
    description = state.description
    servers.append(
        HostedServer(
            description.backend, description.port, routes, FaultInjector()
        )
    )
    return servers[0]


async def _run() -> None:
    descriptions = msgspec.json.decode(
        Path(standin_flags.HOSTED.value).read_bytes(),
        type=list[BackendDescription],
    )
    log = EventLog(Path(standin_flags.LOG_FILE.value))
    clock = SystemClock()
    states = [BackendState(each, clock, log) for each in descriptions]
    servers = [make_backend_server(state) for state in states]
    async with running_servers(
        servers, standin_flags.ADMIN_PORT.value, draining_routes(states)
    ):
        await wait_for_signal()
    log.close()


def main(_arguments: list[str]) -> None:
    """Serve until SIGTERM or SIGINT."""
    asyncio.run(_run())


if __name__ == '__main__':
    flags.mark_flags_as_required(['hosted', 'log_file'])
    app.run(main)
