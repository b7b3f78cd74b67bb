"""A minimal HTTP forwarder, the baseline for the entry daemon."""

import itertools

import aiohttp
from absl import app, flags
from aiohttp import web

from bulrushcove.settings import TracingSettings
from bulrushcove.tracing import setup_tracing, span

PORT = flags.DEFINE_integer('port', 0, 'Port to listen on.')
TARGETS = flags.DEFINE_list('targets', [], 'URLs to forward to, in turn.')
FORWARDED_HEADERS = (
    'X-Request-Id',
    'X-Organisation',
    'X-Idempotent',
    'X-Deadline-Ms',
)


async def _application() -> web.Application:
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    targets = itertools.cycle(TARGETS.value)

    async def forward(request: web.Request) -> web.Response:
        with span('forward'):
            headers = {
                name: request.headers[name] for name in FORWARDED_HEADERS
            }
            body = await request.read()
            async with session.post(
                next(targets), data=body, headers=headers
            ) as response:
                return web.Response(
                    status=response.status, body=await response.read()
                )

    application = web.Application()
    application.router.add_post('/v1/run', forward)
    return application


def main(_arguments: list[str]) -> None:
    """Forward until SIGTERM or SIGINT."""
    setup_tracing(TracingSettings(), 'forwarder', starts_traces=True)
    web.run_app(
        _application(),
        host='127.0.0.1',
        port=PORT.value,
        access_log=None,
        print=None,
    )


if __name__ == '__main__':
    app.run(main)
