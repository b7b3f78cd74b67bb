"""A worker over HTTP: starts, stops, reports and leases."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

MS_PER_S = 1000
POLL_INTERVAL_S = 0.01


class StandinRun(msgspec.Struct):
    """One run and how far it is."""

    task: str
    run: int
    began_s: float
    lasts_s: float


class StandinWorker:
    """Runs tasks for as long as their payload says, in seconds."""

    def __init__(self, worker: str) -> None:
        """Be ``worker``, and run nothing."""
        self.worker = worker
        self.born_unix_ms = int(time.time() * MS_PER_S)
        self.running: dict[tuple[str, int], StandinRun] = {}
        self.ended: list[list[Any]] = []
        # Every run that ever began: task, run, fence.
        self.started_runs: list[tuple[str, int, int]] = []
        # What happened when: seconds, 'begin' or how it ended, task, run.
        self.history: list[tuple[float, str, str, int]] = []
        # Starts that are carried out and not answered.
        self.responses_to_drop = 0
        # Each start fails at once.
        self.fails_every_run = False
        # The ticket that a start of a step must carry; None: starts need none.
        self.make_ticket: Callable[[str, str], str] | None = None
        # Ordered pace by task and run; it is noted, not kept to.
        self.throttle_percents: dict[tuple[str, int], int] = {}
        # Load that each run reports, by task.
        self.loads: dict[str, int] = {}
        self._fence = 0
        self._deadline_ms = 0
        self._numbers = 0
        self._stopped: dict[str, int] = {}

    def application(self) -> web.Application:
        """Return the HTTP interface."""
        application = web.Application()
        application.router.add_post('/api/run-start', self._start)
        application.router.add_post('/api/run-stop', self._stop)
        application.router.add_post('/api/hold', self._hold)
        application.router.add_post('/api/pace', self._pace)
        return application

    @property
    def clock_ms(self) -> int:
        """Return the steady clock since the worker's start."""
        return int(time.time() * MS_PER_S) - self.born_unix_ms

    async def _start(self, request: web.Request) -> web.Response:
        body = await self._admit(request)
        key = (body['task'], body['run'])
        if key in self.running:
            return self._answer()
        if body['deadline-ms'] < self.clock_ms:
            return self._refuse('late')
        if self.make_ticket is not None:
            step = body['task'].rpartition('.')[0]
            if body.get('ticket') != self.make_ticket(step, self.worker):
                return self._refuse('ticket')
        if body['run'] <= self._stopped.get(body['task'], 0):
            return self._refuse('old')
        self._deadline_ms = max(self._deadline_ms, body['deadline-ms'])
        self.started_runs.append((*key, body['fence']))
        self.history.append((time.time(), 'begin', *key))
        self.running[key] = StandinRun(
            body['task'], body['run'], time.time(), float(body['spec'])
        )
        if self.fails_every_run:
            self._end(key, 'failed')
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            request.transport.close()
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        body = await self._admit(request)
        key = (body['task'], body['run'])
        task, run = key
        self._stopped[task] = max(self._stopped.get(task, 0), run)
        if key in self.running:
            self._end(key, 'stopped')
        return self._answer()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await self._admit(request)
        self._deadline_ms = max(self._deadline_ms, body.get('deadline-ms', 0))
        self.ended = [
            row for row in self.ended if row[0] > body['acked-through']
        ]
        end_s = time.time() + body.get('wait-ms', 0) / MS_PER_S
        self._advance()
        while not self.ended and time.time() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._advance()
        rows = [
            [
                run.task,
                run.run,
                '',
                self._percent(run),
                self.loads.get(run.task, 0),
            ]
            for run in self.running.values()
        ]
        return self._answer(running=rows, ended=self.ended)

    async def _pace(self, request: web.Request) -> web.Response:
        body = await self._admit(request)
        self.throttle_percents[(body['task'], body['run'])] = body['percent']
        return self._answer()

    async def _admit(self, request: web.Request) -> dict[str, Any]:
        if request.headers.get('X-Expect-Instance') != self.worker:
            raise web.HTTPMisdirectedRequest()
        body = await request.json()
        if body.get('fence', 0) < self._fence:
            raise web.HTTPConflict(
                text=msgspec.json.encode(
                    {'clock-ms': self.clock_ms, 'reason': 'fence'}
                ).decode()
            )
        self._fence = body['fence']
        return body

    def _advance(self) -> None:
        for key, run in tuple(self.running.items()):
            if self.clock_ms > self._deadline_ms:
                self._end(key, 'lapsed')
            elif time.time() - run.began_s >= run.lasts_s:
                self._end(key, 'done')

    def _end(self, key: tuple[str, int], how: str) -> None:
        self.running.pop(key)
        self.history.append((time.time(), how, *key))
        self._numbers += 1
        self.ended.append([self._numbers, *key, how, ''])

    def _percent(self, run: StandinRun) -> int:
        return int(100 * (time.time() - run.began_s) / max(run.lasts_s, 1e-3))

    def _answer(self, **fields: Any) -> web.Response:
        return web.json_response(
            {'clock-ms': self.clock_ms, 'born': self.born_unix_ms, **fields}
        )

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response(
            {'clock-ms': self.clock_ms, 'reason': reason}, status=409
        )
