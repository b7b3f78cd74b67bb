"""Stand-in for the platform's store, as PROTOCOL.md describes it.

It runs inside the process of the script that uses it.
"""

import asyncio
import base64
import itertools
import json
import time

from aiohttp import web

PAGE_ITEMS = 500


class Store:
    """Items with revisions, leases and a history of changes."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.lease_ids = itertools.count(1)
        # Changed with every write, so that waiting watches look again.
        self.changed = asyncio.Event()

    def application(self):
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get('/api/kv-key', self.read)
        app.router.add_get('/api/kv-range', self.read_range)
        app.router.add_get('/api/kv-watch', self.watch)
        app.router.add_post('/api/kv-txn', self.transact)
        app.router.add_post('/api/kv-lease', self.grant)
        app.router.add_post('/api/kv-keep/{lease}', self.renew)
        app.router.add_delete('/api/kv-lease-end/{lease}', self.end)
        return app

    def put(self, key, value, lease=0, revision=0):
        """Write one key, as the operator and the minions do."""
        if not revision:
            self.revision += 1
            revision = self.revision
        known = self.items.get(key, {})
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': revision,
            'created': known.get('created', revision),
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key, revision=0):
        if self.items.pop(key, None) is None:
            return
        if not revision:
            self.revision += 1
            revision = self.revision
        self._note({'key': key, 'revision': revision, 'deleted': True})

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        for lease, (_, ends_at) in list(self.leases.items()):
            if time.monotonic() >= ends_at:
                self._drop(lease)

    def _drop(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    async def read(self, request):
        self._expire()
        item = self.items.get(request.query['key'])
        if item is None:
            return web.json_response(
                {'current-rev': self.revision}, status=404
            )
        return web.json_response({**item, 'current-rev': self.revision})

    async def read_range(self, request):
        self._expire()
        after = request.query.get('after', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(request.query['prefix']) and key > after
        ]
        return web.json_response(
            {
                'items': found[:PAGE_ITEMS],
                'has-more': len(found) > PAGE_ITEMS,
                'current-rev': self.revision,
            }
        )

    async def watch(self, request):
        prefix = request.query['prefix']
        after = int(request.query['after'])
        ends_at = time.monotonic() + int(request.query['wait-ms']) / 1000
        while True:
            self._expire()
            changed = self.changed
            events = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return web.json_response(
                    {'events': events, 'current-rev': self.revision}
                )
            try:
                # Leases may end while nothing is written.
                await asyncio.wait_for(changed.wait(), min(left_s, 0.05))
            except TimeoutError:
                pass

    async def transact(self, request):
        body = await request.json()
        self._expire()
        rows = body.get('expected', [])
        for row in rows:
            revision = self.items.get(row['key'], {'revision': 0})['revision']
            if revision != row['revision']:
                current = [
                    self.items.get(r['key'], {'key': r['key'], 'revision': 0})
                    for r in rows
                ]
                return web.json_response({'items': current}, status=412)
        to_set = body.get('set-keys', [])
        for row in to_set:
            lease = row.get('lease', 0)
            if lease and lease not in self.leases:
                return web.json_response({}, status=404)
        self.revision += 1
        for key in body.get('remove', []):
            self.remove(key, self.revision)
        for row in to_set:
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row.get('lease', 0), self.revision)
        return web.json_response({'revision': self.revision})

    async def grant(self, request):
        ttl_ms = (await request.json())['ttl-ms']
        lease = next(self.lease_ids)
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return web.json_response({'lease': lease, 'ttl-ms': ttl_ms})

    async def renew(self, request):
        self._expire()
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return web.json_response({'lease': lease, 'ttl-ms': ttl_ms})

    async def end(self, request):
        self._drop(int(request.match_info['lease']))
        return web.json_response({})
