"""Orders of the active scheduler wait for the records that they rest on."""

import asyncio
from types import SimpleNamespace

import pytest
from batch_builders import Bench, entry, job_spec
from fake_shared_store import FakeSharedStore

from bulrushcove.clock import ManualClock
from bulrushcove.ids import Epoch, IncarnationId, VmId
from bulrushcove.metrics import new_metrics
from bulrushcove.node.journal import TenureLostError, WithdrawnError
from bulrushcove.node.messages import Holder
from bulrushcove.node.metrics import NodeMetrics
from bulrushcove.node.roster import WorkerPorts
from bulrushcove.node.scheduler import Scheduler
from bulrushcove.store import StoreLeaseId


class Link:
    """Takes note of the starts that would be sent."""

    def __init__(self):
        self.started = []
        self.orders = self

    def order_start(self, seat):
        self.started.append(seat.unit.job.id)


class Rig:
    """A scheduler whose records are futures that the test settles."""

    def __init__(self):
        holder = Holder(
            VmId('vm'), IncarnationId('i'), 'a:1', StoreLeaseId(0), Epoch(1)
        )
        self.scheduler = Scheduler(
            SimpleNamespace(max_lease_ms=6000),
            FakeSharedStore(),
            SimpleNamespace(has_authority=True, predecessor_is_over=True),
            holder,
            ports=WorkerPorts('', lambda *_: None, lambda *_: None),
            clock=ManualClock(),
            metrics=NodeMetrics(new_metrics()),
        )
        self.link = Link()
        self.records = {}
        self.scheduler._roster.link = lambda worker: self.link
        self.scheduler._records.put_progress = self.put

    def put(self, job):
        future = asyncio.get_running_loop().create_future()
        self.records[job.id] = future
        return future


async def settle():
    await asyncio.sleep(0.01)


@pytest.mark.parametrize('error', [WithdrawnError, TenureLostError])
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
