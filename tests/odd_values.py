"""Values that another writer may leave in an entry, and a list with one."""

import asyncio
import json
import random
from types import SimpleNamespace

from batch_builders import Bench, report
from fake_watchable_store import FakeWatchableStore
from test_node_worker_link import FakeWorkerClient, RecordingEventHandler

from bulrushcove.batch.records import MAX_RECORD_BYTES
from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch
from bulrushcove.node.worker_registry import WorkerAdapter, WorkerRegistry
from bulrushcove.platform.store_entries import WORKERS_PREFIX, decode_worker
from bulrushcove.store import Write

DEPTHS = (1000, 100_000, 1_000_000)
# Too large for a float, and for Python's conversion of digits to an integer.
HUGE = 10**400
HUGE_DIGITS = '1' + '0' * 5000
WELL_WORKERS = 8
WAIT_S = 3


def nested_arrays(depth):
    return b'[' * depth + b']' * depth


def nested_objects(depth):
    return b'{"a":' * depth + b'1' + b'}' * depth


def nested_msgpack(depth):
    """Return arrays of one element, ``depth`` deep, around nil."""
    return b'\x91' * depth + b'\xc0'


def worker_entry(**changes):
    """Return the entry of a worker; ``changes`` replace its fields."""
    fields = {
        'service': 'p',
        'address': '10.128.0.9:8080',
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'seq': 4,
        'capacity': {'cpu': 16_000, 'mem-mb': 32_768, 'gpu': 2},
        'labels': ['a', 'r1-3'],
        'born': 7,
    }
    return json.dumps(fields | changes).encode()


def with_field(name, encoded):
    """Return the entry of a worker with the JSON text of one more field."""
    return worker_entry()[:-1] + b',"%s":%s}' % (name.encode(), encoded)


class WorkerList:
    """A registry that follows a list of workers in a store."""

    def __init__(self, decode_entry=decode_worker):
        bench = Bench()
        self.engine = bench.engine
        self.store = FakeWatchableStore(ManualClock())
        self.registry = WorkerRegistry(
            self.engine,
            self.store,
            WorkerAdapter(
                WORKERS_PREFIX, decode_entry, self.make_client, lambda _: None
            ),
            RecordingEventHandler(bench),
            epoch=Epoch(1),
            settings=SimpleNamespace(
                max_lease_ms=8000,
                cpu_cores=1.0,
                max_record_bytes=MAX_RECORD_BYTES,
                memory_mb=0,
            ),
            clock=ManualClock(),
        )

    def make_client(self, worker, address):
        client = FakeWorkerClient()
        client.reports = [report()]
        return client

    def put(self, name, stored):
        """Write an entry at once, between two steps of the follower."""
        key = f'{WORKERS_PREFIX}{name}'
        known = self.store.values.get(key)
        revision = known.mod_revision if known else 0
        self.store._commit((Write(key, stored, revision),), ())

    def put_mixed(self, seed, odd_name, odd_entry):
        """Write well entries and an odd one, in an order drawn by ``seed``."""
        entries = [(name, worker_entry()) for name in well_names()]
        entries.append((odd_name, odd_entry))
        random.Random(seed).shuffle(entries)
        for name, stored in entries:
            self.put(name, stored)

    async def wait_until_listed(self, names):
        async with asyncio.timeout(WAIT_S):
            while not set(names) <= set(self.engine.workers):
                await asyncio.sleep(0.01)

    def listed(self):
        return {
            worker.id
            for worker in self.engine.workers.values()
            if worker.is_listed
        }


def well_names():
    return [f'well-{number}' for number in range(WELL_WORKERS)]
