"""A placement adviser over HTTP."""

from aiohttp import web

VALIDITY_MS = 3000


class StandinAdviser:
    """Allows each step on the workers that the test names."""

    def __init__(self) -> None:
        """Allow nothing."""
        self.allowed: set[str] = set()

    def application(self) -> web.Application:
        """Return the HTTP interface."""
        application = web.Application()
        application.router.add_post('/api/advise', self._advise)
        return application

    def ticket(self, step: str, worker: str) -> str:
        """Return the ticket for a step on a worker."""
        return f'{step}@{worker}'

    async def _advise(self, request: web.Request) -> web.Response:
        body = await request.json()
        step = body['step']
        rows = [
            [worker, self.ticket(step, worker)]
            for worker in body['workers']
            if worker in self.allowed
        ]
        return web.json_response({'allowed': rows, 'validity-ms': VALIDITY_MS})
