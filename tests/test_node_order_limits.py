"""Calls under way to workers are bounded, in all and for each worker."""

import asyncio

from batch_builders import Bench, entry, job_spec
from test_node_worker_link import FakeWorkerClient, RecordingEventHandler

from bulrushcove.batch.job_spec import StepSpec, TaskSize
from bulrushcove.batch.orders import OrderOutcome, OrderReply
from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch
from bulrushcove.node.order_limits import (
    OrderKind,
    OrderLimits,
    WorkerOrderLimits,
)
from bulrushcove.node.worker_orders import WorkerOrders

TIMEOUT_S = 20
WORKERS = tuple(f'w{number}' for number in range(8))


class CallCounter:
    """Counts the calls that are under way, by worker."""

    def __init__(self):
        self.now = dict.fromkeys(WORKERS, 0)
        self.most_at_one = 0
        self.most = 0

    async def call(self, worker):
        self.now[worker] += 1
        self.most_at_one = max(self.most_at_one, self.now[worker])
        self.most = max(self.most, sum(self.now.values()))
        await asyncio.sleep(0.001)
        self.now[worker] -= 1
        return OrderReply(OrderOutcome.DONE, 1000)


class CountingClient(FakeWorkerClient):
    """Counts the calls to one worker that are under way."""

    def __init__(self, worker, counter):
        super().__init__()
        self._worker = worker
        self._counter = counter

    async def start(self, epoch, order):
        self.starts.append(order)
        return await self._counter.call(self._worker)

    async def stop(self, epoch, ref):
        self.stops.append(ref)
        return await self._counter.call(self._worker)


def place_gang(count):
    bench = Bench(*(entry(name) for name in WORKERS))
    gang = StepSpec(task_count=count, size=TaskSize(128, 1, 0), is_gang=True)
    bench.submit(job_spec('job', gang))
    return bench, bench.plan().starts


def make_orders(bench, counter, limits):
    orders = {}
    for name in WORKERS:
        orders[name] = WorkerOrders(
            bench.engine.workers[name],
            CountingClient(name, counter),
            RecordingEventHandler(bench),
            epoch=Epoch(1),
            clock=ManualClock(),
        )
        orders[name].limits = WorkerOrderLimits(limits)
    return orders


async def wait_until(is_true):
    async with asyncio.timeout(TIMEOUT_S):
        while not is_true():
            await asyncio.sleep(0.01)


async def test_starts_of_a_wide_gang_are_bounded():
    """A connection for each of 2,000 starts took 300 MB (review case 11)."""
    bench, starts = place_gang(2000)
    assert len(starts) == 2000
    counter, limits = CallCounter(), OrderLimits()
    orders = make_orders(bench, counter, limits)
    for allocation in starts:
        orders[allocation.worker].order_start(allocation)
    await asyncio.sleep(0)
    assert limits.open_starts == 2000
    await wait_until(lambda: not limits.open_starts)
    assert sum(len(one._client.starts) for one in orders.values()) == 2000
    assert counter.most_at_one == OrderKind.START.max_calls_per_worker
    assert counter.most == OrderKind.START.max_calls


async def test_stops_of_a_wide_gang_are_bounded():
    """The stops went the same way as the starts (review case 11)."""
    bench, starts = place_gang(2000)
    counter, limits = CallCounter(), OrderLimits()
    orders = make_orders(bench, counter, limits)
    for allocation in starts:
        allocation.is_start_sent = True
        orders[allocation.worker].order_stop(allocation)
    await wait_until(
        lambda: sum(len(one._client.stops) for one in orders.values()) == 2000
    )
    assert counter.most_at_one == OrderKind.STOP.max_calls_per_worker
    assert counter.most == OrderKind.STOP.max_calls


async def test_a_worker_that_does_not_answer_keeps_none_from_a_start():
    """Calls that wait for one worker must hold no slot of the others."""
    bench, starts = place_gang(2000)
    counter, limits = CallCounter(), OrderLimits()
    orders = make_orders(bench, counter, limits)
    silent = orders['w0']

    async def never_answer(epoch, order):
        await asyncio.sleep(TIMEOUT_S)

    silent._client.start = never_answer
    for allocation in starts:
        orders[allocation.worker].order_start(allocation)
    answered = sum(allocation.worker != 'w0' for allocation in starts)
    await wait_until(lambda: limits.open_starts == len(starts) - answered)
    silent.cancel()
