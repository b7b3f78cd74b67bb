"""HTTP stand-in for the placement adviser."""

import asyncio

from aiohttp import web

VALIDITY_MS = 3000


class StandinAdviser:
    """Allows every step on the workers in ``allowed_workers``.

    It serves one call at a time, as the users' does for each calling machine.
    """

    def __init__(self) -> None:
        """Start with no allowed workers."""
        self.allowed_workers: set[str] = set()
        self.answer_s = 0.0
        # Calls for these jobs fail, or wait until the event is set.
        self.failing_jobs: set[str] = set()
        self.hanging_jobs: dict[str, asyncio.Event] = {}
        self._turn = asyncio.Lock()

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_post('/api/advise', self._advise)
        return application

    def make_ticket(self, step: str, worker: str) -> str:
        """Return the ticket for running ``step`` on ``worker``."""
        return f'{step}@{worker}'

    async def _advise(self, request: web.Request) -> web.Response:
        body = await request.json()
        step = body['step']
        job = step.partition('.')[0]
        is_released = self.hanging_jobs.get(job)
        if is_released is not None:
            await is_released.wait()
        if job in self.failing_jobs:
            raise web.HTTPInternalServerError
        async with self._turn:
            await asyncio.sleep(self.answer_s)
        rows = [
            [worker, self.make_ticket(step, worker)]
            for worker in body['workers']
            if worker in self.allowed_workers
        ]
        return web.json_response({'allowed': rows, 'validity-ms': VALIDITY_MS})
