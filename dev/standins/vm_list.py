"""Stand-in for the platform's VM list, which shows changes late.

One process may serve several views of the list, one for each failure domain.
"""

import asyncio
from collections import deque
from pathlib import Path

import msgspec
from absl import app, flags
from aiohttp import web

from bulrushcove.clock import Clock, SystemClock
from bulrushcove.vm_list import VmList
from dev.standins import standin_flags
from dev.standins.faults import FaultInjector
from dev.standins.hosting import (
    HostedServer,
    json_response,
    running_servers,
    wait_for_signal,
)

LAG_S = flags.DEFINE_float(
    'lag_s', 0, 'Delay in seconds until a change of the list is served.'
)


class VmListView(msgspec.Struct, frozen=True):
    """One served list, named after the failure domain that reads it."""

    name: str
    port: int
    vm_list: VmList


class DelayedVmList:
    """VM list that serves each change after a fixed delay."""

    def __init__(self, vm_list: VmList, lag_s: float, clock: Clock) -> None:
        """Serve ``vm_list`` immediately; later changes after ``lag_s``."""
        self._clock = clock
        self._lag_s = lag_s
        self._served = vm_list
        self._pending: deque[tuple[float, VmList]] = deque()

    def replace(self, vm_list: VmList) -> None:
        """Serve ``vm_list`` after the delay."""
        served_from_s = self._clock.monotonic_s() + self._lag_s
        self._pending.append((served_from_s, vm_list))

    def current(self) -> VmList:
        """Return the list that is served now."""
        now_s = self._clock.monotonic_s()
        while self._pending and self._pending[0][0] <= now_s:
            self._served = self._pending.popleft()[1]
        return self._served

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that serve and change the list."""

        async def get_vms(_request: web.Request) -> web.Response:
            return json_response(self.current())

        async def put_vms(request: web.Request) -> web.Response:
            body = await request.read()
            self.replace(msgspec.json.decode(body, type=VmList))
            return web.Response(status=web.HTTPNoContent.status_code)

        return [web.get('/vms', get_vms), web.put('/vms', put_vms)]


def _make_server(view: VmListView) -> HostedServer:
    delayed = DelayedVmList(view.vm_list, LAG_S.value, SystemClock())
    return HostedServer(view.name, view.port, delayed.routes(), FaultInjector())


async def _run() -> None:
    views = msgspec.json.decode(
        Path(standin_flags.HOSTED.value).read_bytes(), type=list[VmListView]
    )
    servers = [_make_server(view) for view in views]
    async with running_servers(servers, standin_flags.ADMIN_PORT.value):
        await wait_for_signal()


def main(_arguments: list[str]) -> None:
    """Serve until SIGTERM or SIGINT."""
    asyncio.run(_run())


if __name__ == '__main__':
    flags.mark_flag_as_required('hosted')
    app.run(main)
