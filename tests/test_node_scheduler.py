"""Orders of the active scheduler wait for the records that they rest on."""

import asyncio
from types import SimpleNamespace

import pytest
from batch_builders import Bench, entry, job_spec
from fake_watchable_store import FakeWatchableStore
from test_batch_advice import advised

from bulrushcove.batch.advice import Advice
from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch, IncarnationId, VmId
from bulrushcove.metrics import new_metrics
from bulrushcove.node import advice_requests as advisory_module
from bulrushcove.node.advice_requests import AdviserError
from bulrushcove.node.messages import LeaderRecord
from bulrushcove.node.metrics import NodeMetrics
from bulrushcove.node.scheduler import Scheduler
from bulrushcove.node.store_writer import (
    LeadershipLostError,
    WriteWithdrawnError,
)
from bulrushcove.node.worker_registry import WorkerAdapter
from bulrushcove.store import StoreLeaseId


class Link:
    """Takes note of the starts that would be sent."""

    def __init__(self):
        self.started = []
        self.orders = self

    def order_start(self, allocation, ticket):
        self.started.append(allocation.unit.job.id)


class Rig:
    """A scheduler whose records are futures that the test settles."""

    def __init__(self):
        leader = LeaderRecord(
            VmId('vm'), IncarnationId('i'), 'a:1', StoreLeaseId(0), Epoch(1)
        )
        self.scheduler = Scheduler(
            SimpleNamespace(max_lease_ms=6000),
            FakeWatchableStore(),
            SimpleNamespace(has_authority=True, has_previous_leader_ended=True),
            leader,
            worker_adapter=WorkerAdapter(
                '', lambda *_: None, lambda *_: None, self.request_advice
            ),
            clock=ManualClock(),
            metrics=NodeMetrics(new_metrics()),
        )
        self.link = Link()
        self.questions = []
        self.advice = None
        self.records = {}
        self.scheduler._roster.link = lambda worker: self.link
        self.scheduler._records.put_progress = self.put

    async def request_advice(self, question):
        self.questions.append(question)
        return self.advice

    def put(self, job):
        future = asyncio.get_running_loop().create_future()
        self.records[job.id] = future
        return future


async def settle():
    await asyncio.sleep(0.01)


@pytest.mark.parametrize('error', [WriteWithdrawnError, LeadershipLostError])
async def test_a_record_taken_back_holds_up_no_other_job(error):
    bench = Bench(entry('w1'))
    for name in ('kept', 'withdrawn'):
        bench.submit(job_spec(name))
    rig = Rig()
    rig.scheduler._apply(bench.plan())
    await settle()
    assert rig.link.started == []
    rig.records['withdrawn'].set_exception(error('x'))
    rig.records['kept'].set_result(None)
    await settle()
    assert rig.link.started == ['kept']


async def test_one_question_at_a_time_is_asked():
    bench = Bench(entry('w1'))
    for name in ('first', 'second'):
        bench.submit(advised(name))
    rig = Rig()
    rig.advice = Advice({'w1': 'leave'}, 3.0)
    question = bench.plan().advice_request
    rig.scheduler._advisory.ask(question)
    rig.scheduler._advisory.ask(question)
    await settle()
    assert rig.questions == [question]
    rig.scheduler._advisory.ask(question)
    await settle()
    assert len(rig.questions) == 2


async def test_an_adviser_that_fails_is_asked_again(monkeypatch):
    monkeypatch.setattr(advisory_module, 'RETRY_S', 0)
    bench = Bench(entry('w1'))
    bench.submit(advised('job'))
    rig = Rig()
    asked = []

    async def fail(question):
        asked.append(question)
        raise AdviserError('away')

    rig.scheduler._advisory._ask = fail
    for _ in range(2):
        rig.scheduler._advisory.ask(bench.plan().advice_request)
        await settle()
    assert len(asked) == 2
