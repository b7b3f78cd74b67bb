"""Stand-in for workers; one process hosts several."""

import asyncio
from pathlib import Path

import msgspec
from absl import app, flags
from aiohttp import web

from bulrushcove.clock import SystemClock
from bulrushcove.worker_api import (
    DESCRIPTION_PATH,
    SYNC_PATH,
    SyncRequest,
    WorkerDescription,
)
from dev.history.events import EventLog
from dev.standins import standin_flags
from dev.standins.faults import FaultInjector
from dev.standins.hosting import (
    HostedServer,
    json_response,
    running_servers,
    wait_for_signal,
)
from dev.standins.worker_tasks import WorkerTasks

ADVANCE_PERIOD_S = 0.02


class HostedWorker(msgspec.Struct, frozen=True):
    """One hosted worker."""

    port: int
    description: WorkerDescription


def worker_routes(tasks: WorkerTasks) -> list[web.RouteDef]:
    """Return the routes of one worker."""

    async def sync(request: web.Request) -> web.Response:
        body = await request.read()
        try:
            sync_request = msgspec.json.decode(body, type=SyncRequest)
        except msgspec.DecodeError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        response = tasks.sync(sync_request)
        if response.accepted:
            return json_response(response)
        return json_response(response, web.HTTPConflict.status_code)

    async def describe(_request: web.Request) -> web.Response:
        return json_response(tasks.description)

    return [
        web.post(SYNC_PATH, sync),
        web.get(DESCRIPTION_PATH, describe),
    ]


async def _advance(
    workers: list[WorkerTasks], servers: list[HostedServer]
) -> None:
    while True:
        for tasks, server in zip(workers, servers, strict=True):
            tasks.fails_everything = (
                server.fault_injector.faults.fails_everything
            )
            tasks.advance()
        await asyncio.sleep(ADVANCE_PERIOD_S)


def make_worker_server(tasks: WorkerTasks, port: int) -> HostedServer:
    """Return the HTTP server of one worker."""
    fault_injector = FaultInjector(handles_fails_everything=True)
    routes = worker_routes(tasks)
    return HostedServer(tasks.description.worker, port, routes, fault_injector)


async def _run() -> None:
    hosted = msgspec.json.decode(
        Path(standin_flags.HOSTED.value).read_bytes(), type=list[HostedWorker]
    )
    log = EventLog(Path(standin_flags.LOG_FILE.value))
    clock = SystemClock()
    workers = [WorkerTasks(each.description, clock, log) for each in hosted]
    servers = [
        make_worker_server(tasks, each.port)
        for tasks, each in zip(workers, hosted, strict=True)
    ]
    advance_task = asyncio.create_task(_advance(workers, servers))
    async with running_servers(servers, standin_flags.ADMIN_PORT.value):
        await wait_for_signal()
    advance_task.cancel()
    log.close()


def main(_arguments: list[str]) -> None:
    """Serve until SIGTERM or SIGINT."""
    asyncio.run(_run())


if __name__ == '__main__':
    flags.mark_flags_as_required(['hosted', 'log_file'])
    app.run(main)
