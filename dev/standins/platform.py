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
from dev.standins.faults import FaultSwitch
from dev.standins.hosting import (
    HostedServer,
    json_response,
    serving,
    wait_for_signal,
)
from dev.standins.kv_state import KeyValue, KvState, LeaseNotFoundError

KV_PORT = flags.DEFINE_integer('kv_port', 0, 'Port of the key-value service.')

EXPIRY_PERIOD_S = 0.05
# How often a waiting watch looks whether its client has gone.
WATCH_CHECK_S = 0.5
MAX_REQUEST_BYTES = 1_572_864
HTTP_STATUS = MappingProxyType(
    {
        service.GRPC_INVALID_ARGUMENT: 400,
        service.GRPC_NOT_FOUND: 404,
    }
)


class KvServer:
    """HTTP side of the key-value service; counts each call by kind."""

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
        plain = [
            web.post(path, self._counted(path, handler))
            for path, handler in posts.items()
        ]
        return [
            *plain,
            web.post('/v3/watch', self._watch),
            web.get('/stats', self.get_stats),
        ]

    async def get_stats(self, _request: web.Request) -> web.Response:
        """Answer with the calls by kind; a waiting watch counts as one."""
        return json_response(
            {'calls': self.calls, 'waiting_watches': self.waiting_watches}
        )

    def _counted(
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
        return messages.LeaseAnswer(
            header=service.header(self._state),
            lease=messages.int64(lease.lease),
            ttl=messages.int64(lease.ttl_s),
        )

    def _keepalive(self, body: bytes) -> msgspec.Struct:
        request = msgspec.json.decode(body, type=messages.LeaseRequest)
        answer = messages.LeaseAnswer(
            header=service.header(self._state),
            lease=str(request.lease),
            ttl=messages.int64(self._state.renew(int(request.lease))),
        )
        return StreamPart(result=answer)

    def _revoke(self, body: bytes) -> msgspec.Struct:
        request = msgspec.json.decode(body, type=messages.LeaseRequest)
        try:
            self._state.revoke(int(request.lease))
        except LeaseNotFoundError as exc:
            raise service.lease_not_found() from exc
        return messages.PutAnswer(header=service.header(self._state))

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls['watch'] += 1
        body = await request.read()
        wanted = msgspec.json.decode(body, type=messages.WatchRequest)
        answer = web.StreamResponse()
        answer.content_type = 'application/json'
        await answer.prepare(request)
        self.waiting_watches += 1
        try:
            await self._send_changes(wanted.create_request, answer, request)
        finally:
            self.waiting_watches -= 1
        return answer

    async def _send_changes(
        self,
        wanted: messages.WatchCreateRequest,
        answer: web.StreamResponse,
        request: web.Request,
    ) -> None:
        changes: asyncio.Queue[list[KeyValue]] = asyncio.Queue()
        start = int(wanted.start_revision)
        if start:
            missed = [
                known
                for known in self._state.events
                if known.mod_revision >= start
            ]
            changes.put_nowait(missed)
        created = messages.WatchAnswer(
            header=service.header(self._state), created=True
        )
        self._state.listeners.add(changes.put_nowait)
        try:
            await answer.write(_line(created))
            while not _is_closed(request):
                await self._send_next(wanted, answer, changes)
        finally:
            self._state.listeners.discard(changes.put_nowait)

    async def _send_next(
        self,
        wanted: messages.WatchCreateRequest,
        answer: web.StreamResponse,
        changes: asyncio.Queue[list[KeyValue]],
    ) -> None:
        try:
            changed = await asyncio.wait_for(changes.get(), WATCH_CHECK_S)
        except TimeoutError:
            return
        events = tuple(
            service.watch_event(known)
            for known in changed
            if _is_in_range(known.key, wanted)
        )
        if events:
            news = messages.WatchAnswer(
                header=service.header(self._state), events=events
            )
            await answer.write(_line(news))


class StreamPart(msgspec.Struct, frozen=True):
    """One message of an answer that the gateway streams."""

    result: msgspec.Struct


def _is_closed(request: web.Request) -> bool:
    return request.transport is None or request.transport.is_closing()


def _line(answer: msgspec.Struct) -> bytes:
    return msgspec.json.Encoder().encode_lines((StreamPart(result=answer),))


def _is_in_range(key: bytes, wanted: messages.WatchCreateRequest) -> bool:
    if not wanted.range_end:
        return key == wanted.key
    if key < wanted.key:
        return False
    return wanted.range_end == b'\0' or key < wanted.range_end


def _error_response(error: Exception) -> web.Response:
    code = getattr(error, 'code', service.GRPC_INVALID_ARGUMENT)
    text = str(error)
    return json_response(
        messages.ErrorAnswer(error=text, code=code, message=text),
        HTTP_STATUS[code],
    )


async def expire_leases(state: KvState) -> None:
    """End lapsed leases until cancelled."""
    while True:
        state.expire()
        await asyncio.sleep(EXPIRY_PERIOD_S)


async def _run() -> None:
    state = KvState(SystemClock())
    server = KvServer(state)
    hosted = HostedServer(
        'platform', KV_PORT.value, server.routes(), FaultSwitch()
    )
    expiry = asyncio.create_task(expire_leases(state))
    stats = [web.get('/stats', server.get_stats)]
    async with serving([hosted], standin_flags.ADMIN_PORT.value, stats):
        await wait_for_signal()
    expiry.cancel()


def main(_arguments: list[str]) -> None:
    """Serve until told to stop."""
    asyncio.run(_run())


if __name__ == '__main__':
    app.run(main)
