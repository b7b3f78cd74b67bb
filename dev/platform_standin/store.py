"""HTTP stand-in for the platform's metadata store."""

import asyncio
import base64
import itertools
from http import HTTPStatus
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500
MS_PER_S = 1000
WATCH_POLL_INTERVAL_S = 0.01


class StandinStore:
    """In-memory key-value store with revisions, leases and watches."""

    def __init__(self) -> None:
        """Start with an empty store."""
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.removed_revisions: dict[str, int] = {}
        # Rejects every request with status 503, without any effect.
        self.is_unavailable = False
        # Number of POST requests that take effect but get no response.
        self.responses_to_drop = 0
        self.request_count = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)

    def make_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(middlewares=[self._inject_faults])
        router = application.router
        router.add_get('/api/kv-key', self._read)
        router.add_get('/api/kv-range', self._range)
        router.add_get('/api/kv-watch', self._watch)
        router.add_post('/api/kv-txn', self._commit)
        router.add_post('/api/kv-lease', self._grant_lease)
        router.add_post('/api/kv-keep/{lease}', self._renew_lease)
        router.add_delete('/api/kv-lease-end/{lease}', self._revoke_lease)
        return application

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one key unconditionally, as operators and workers do."""
        self.revision += 1
        previous_item = self.items.get(key, {})
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': previous_item.get('created', self.revision),
            'lease': lease,
        }

    def remove(self, key: str) -> None:
        """Delete one key."""
        self.revision += 1
        if self.items.pop(key, None) is not None:
            self.removed_revisions[key] = self.revision

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        self.request_count += 1
        if self.is_unavailable:
            raise web.HTTPServiceUnavailable()
        self._expire_leases()
        response = await handler(request)
        if self.responses_to_drop and request.method == 'POST':
            self.responses_to_drop -= 1
            request.transport.close()
        return response

    async def _read(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query['key'])
        if item is None:
            raise web.HTTPNotFound()
        return web.json_response({**item, 'current-rev': self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        after = request.query.get('after', '')
        prefix = request.query['prefix']
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {
                'items': found[:PAGE_ITEMS],
                'has-more': len(found) > PAGE_ITEMS,
                'current-rev': self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(request.query['wait-ms']) / MS_PER_S
        prefix = request.query['prefix']
        after = int(request.query['after'])
        events = self._events(prefix, after)
        while not events and loop.time() < end_s:
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
            events = self._events(prefix, after)
        return web.json_response(
            {'events': events, 'current-rev': self.revision}
        )

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = [
            item
            for key, item in self.items.items()
            if key.startswith(prefix) and item['revision'] > after
        ]
        events.extend(
            {'key': key, 'revision': revision, 'deleted': True}
            for key, revision in self.removed_revisions.items()
            if key.startswith(prefix) and revision > after
        )
        return sorted(events, key=lambda event: event['revision'])

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected_revisions = body['expected']
        current = [
            self.items[row['key']]
            for row in expected_revisions
            if row['key'] in self.items
        ]
        for row in expected_revisions:
            current_item = self.items.get(row['key'], {'revision': 0})
            if current_item['revision'] != row['revision']:
                return web.json_response(
                    {'items': current}, status=HTTPStatus.PRECONDITION_FAILED
                )
        for key in body['remove']:
            self.remove(key)
        for row in body['set-keys']:
            self.put(row['key'], base64.b64decode(row['value']), row['lease'])
            self.items[row['key']]['revision'] = self.revision
        # All keys written by a transaction get the same revision.
        for row in body['set-keys']:
            self.items[row['key']]['revision'] = self.revision
        return web.json_response({'revision': self.revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_s = (await request.json())['ttl-ms'] / MS_PER_S
        lease = next(self._lease_ids)
        self._leases[lease] = (ttl_s, _now_s() + ttl_s)
        return web.json_response(
            {'lease': lease, 'ttl-ms': int(ttl_s * MS_PER_S)}
        )

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self._leases:
            raise web.HTTPNotFound()
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, _now_s() + ttl_s)
        return web.json_response({'ttl-ms': int(ttl_s * MS_PER_S)})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        self._drop_lease(int(request.match_info['lease']))
        return web.json_response({})

    def _expire_leases(self) -> None:
        for lease, (_, expires_s) in tuple(self._leases.items()):
            if expires_s <= _now_s():
                self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        attached_keys = [
            key for key, item in self.items.items() if item['lease'] == lease
        ]
        for key in attached_keys:
            if lease:
                self.remove(key)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
