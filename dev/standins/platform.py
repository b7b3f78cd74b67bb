"""Stand-in for the platform's key-value service (etcd v3 JSON gateway)."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import msgspec
from absl import app, flags
from aiohttp import web

from bulrushcove.clock import SystemClock
from dev.standins import kv_messages as messages
from dev.standins import kv_service as service
from dev.standins import standin_flags
from dev.standins.faults import FaultInjector
from dev.standins.hosting import (
    HostedServer,
    json_response,
    running_servers,
    wait_for_signal,
)
from dev.standins.kv_state import KeyValue, KvState, LeaseNotFoundError

KV_PORT = flags.DEFINE_integer('kv_port', 0, 'Port of the key-value service.')

EXPIRY_PERIOD_S = 0.05
# How often an idle watch checks whether its client has disconnected.
WATCH_CHECK_S = 0.5
# The default limit of etcd.
MAX_REQUEST_BYTES = 1_572_864
HTTP_STATUS = MappingProxyType(
    {
        service.GRPC_INVALID_ARGUMENT: 400,
        service.GRPC_NOT_FOUND: 404,
    }
)


class KvServer:
    """HTTP front end of the key-value service; counts calls by kind."""

    def __init__(self, state: KvState) -> None:
        """Serve ``state``."""
        self.calls: Counter[str] = Counter()
        self.waiting_watches = 0
        self._state = state

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the gateway."""
        posts = {
            '/v3/kv/range': self._range,
            '/v3/kv/txn': self._txn,
            '/v3/lease/grant': self._grant,
            '/v3/lease/keepalive': self._keepalive,
            '/v3/lease/revoke': self._revoke,
        }
        unary_routes = [
            web.post(path, self._count_calls(path, handler))
            for path, handler in posts.items()
        ]
        return [
            *unary_routes,
            web.post('/v3/watch', self._watch),
            web.get('/stats', self.get_stats),
        ]

    async def get_stats(self, _request: web.Request) -> web.Response:
        """Return the calls by kind and the number of open watches.

        A watch counts as one call, however long it stays open.
        """
        return json_response(
            {'calls': self.calls, 'waiting_watches': self.waiting_watches}
        )

    def _count_calls(
        self, path: str, handler: Callable[[bytes], msgspec.Struct]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        kind = path.rsplit('/', maxsplit=1)[-1]

        async def serve(request: web.Request) -> web.Response:
            self.calls[kind] += 1
            body = await request.read()
            self._state.expire()
            try:
                return json_response(handler(body))
            except (service.KvRequestError, msgspec.DecodeError) as exc:
                return _error_response(exc)

        return serve

    def _range(self, body: bytes) -> msgspec.Struct:
        request = msgspec.json.decode(body, type=messages.RangeRequest)
        return service.read_range(self._state, request)

    def _txn(self, body: bytes) -> msgspec.Struct:
        if len(body) > MAX_REQUEST_BYTES:
            raise service.KvRequestError(
                service.GRPC_INVALID_ARGUMENT,
                'etcdserver: request is too large',
            )
        request = msgspec.json.decode(body, type=messages.TxnRequest)
        return service.apply_txn(self._state, request)

    def _grant(self, body: bytes) -> msgspec.Struct:
        request = msgspec.json.decode(body, type=messages.LeaseGrantRequest)
        lease = self._state.grant(int(request.ttl))
        return messages.LeaseResponse(
            header=service.make_header(self._state),
            lease=messages.int64(lease.lease),
            ttl=messages.int64(lease.ttl_s),
        )

    def _keepalive(self, body: bytes) -> msgspec.Struct:
        request = msgspec.json.decode(body, type=messages.LeaseRequest)
        response = messages.LeaseResponse(
            header=service.make_header(self._state),
            lease=str(request.lease),
            ttl=messages.int64(self._state.renew(int(request.lease))),
        )
        return StreamedMessage(result=response)

    def _revoke(self, body: bytes) -> msgspec.Struct:
        request = msgspec.json.decode(body, type=messages.LeaseRequest)
        try:
            self._state.revoke(int(request.lease))
        except LeaseNotFoundError as exc:
            raise service.lease_not_found_error() from exc
        return messages.PutResponse(header=service.make_header(self._state))

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls['watch'] += 1
        body = await request.read()
        watch = msgspec.json.decode(body, type=messages.WatchRequest)
        response = web.StreamResponse()
        response.content_type = 'application/json'
        await response.prepare(request)
        self.waiting_watches += 1
        try:
            await self._send_changes(watch.create_request, response, request)
        finally:
            self.waiting_watches -= 1
        return response

    async def _send_changes(
        self,
        watch: messages.WatchCreateRequest,
        response: web.StreamResponse,
        request: web.Request,
    ) -> None:
        changes: asyncio.Queue[list[KeyValue]] = asyncio.Queue()
        start = int(watch.start_revision)
        if start:
            past_changes = [
                stored
                for stored in self._state.events
                if stored.mod_revision >= start
            ]
            changes.put_nowait(past_changes)
        created = messages.WatchResponse(
            header=service.make_header(self._state), created=True
        )
        self._state.listeners.add(changes.put_nowait)
        try:
            await response.write(_encode_line(created))
            while not _is_closed(request):
                await self._send_next(watch, response, changes)
        finally:
            self._state.listeners.discard(changes.put_nowait)

    async def _send_next(
        self,
        watch: messages.WatchCreateRequest,
        response: web.StreamResponse,
        changes: asyncio.Queue[list[KeyValue]],
    ) -> None:
        try:
            changed = await asyncio.wait_for(changes.get(), WATCH_CHECK_S)
        except TimeoutError:
            return
        events = tuple(
            service.make_watch_event(stored)
            for stored in changed
            if _is_in_range(stored.key, watch)
        )
        if events:
            update = messages.WatchResponse(
                header=service.make_header(self._state), events=events
            )
            await response.write(_encode_line(update))


class StreamedMessage(msgspec.Struct, frozen=True):
    """One message of a response that the gateway streams."""

    result: msgspec.Struct


def _is_closed(request: web.Request) -> bool:
    return request.transport is None or request.transport.is_closing()


def _encode_line(response: msgspec.Struct) -> bytes:
    return msgspec.json.Encoder().encode_lines(
        (StreamedMessage(result=response),)
    )


def _is_in_range(key: bytes, watch: messages.WatchCreateRequest) -> bool:
    if not watch.range_end:
        return key == watch.key
    if key < watch.key:
        return False
    return watch.range_end == b'\0' or key < watch.range_end


def _error_response(error: Exception) -> web.Response:
    code = getattr(error, 'code', service.GRPC_INVALID_ARGUMENT)
    text = str(error)
    return json_response(
        messages.ErrorResponse(error=text, code=code, message=text),
        HTTP_STATUS[code],
    )


async def expire_leases(state: KvState) -> None:
    """Revoke expired leases periodically until cancelled."""
    while True:
        state.expire()
        await asyncio.sleep(EXPIRY_PERIOD_S)


async def _run() -> None:
    state = KvState(SystemClock())
    server = KvServer(state)
    hosted = HostedServer(
        'platform', KV_PORT.value, server.routes(), FaultInjector()
    )
    expiry_task = asyncio.create_task(expire_leases(state))
    stats = [web.get('/stats', server.get_stats)]
    async with running_servers([hosted], standin_flags.ADMIN_PORT.value, stats):
        await wait_for_signal()
    expiry_task.cancel()


def main(_arguments: list[str]) -> None:
    """Serve until SIGTERM or SIGINT."""
    asyncio.run(_run())


if __name__ == '__main__':
    app.run(main)
