"""HTTP stand-in for the placement adviser."""

from aiohttp import web

VALIDITY_MS = 3000


class StandinAdviser:
    """Allows every step on the workers in ``allowed_workers``."""

    def __init__(self) -> None:
        """Start with no allowed workers."""
        self.allowed_workers: set[str] = set()

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
        rows = [
            [worker, self.make_ticket(step, worker)]
            for worker in body['workers']
            if worker in self.allowed_workers
        ]
        return web.json_response({'allowed': rows, 'validity-ms': VALIDITY_MS})
