"""The services of a VM are connected as they need each other."""

import asyncio

import msgspec
import pytest
from fake_watchable_store import FakeWatchableStore

from bulrushcove.batch.policy import DesiredState
from bulrushcove.clock import ManualClock
from bulrushcove.exceptions import StoreHistoryGoneError
from bulrushcove.ids import DomainName, VmId
from bulrushcove.node.application import NodeApplication, PlatformAdapter
from bulrushcove.node.settings import NodeSettings
from bulrushcove.node.worker_registry import WorkerAdapter
from bulrushcove.store import Write

SETTINGS = NodeSettings(
    vm=VmId('vm-1'),
    domain=DomainName('a'),
    ip='127.0.0.1',
    caller_api_address='127.0.0.1:0',
    readiness_address='127.0.0.1:0',
    stream_address='127.0.0.1:0',
    metrics_address='127.0.0.1:0',
    seed_addresses=(),
    store_address='127.0.0.1:0',
    adviser_address='',
    max_lease_ms=8000,
    stop_grace_ms=2000,
    min_store_lease_ms=1000,
)


class ForgetfulStore(FakeWatchableStore):
    """Forgets its history at once and answers only the first scan."""

    def __init__(self):
        super().__init__(ManualClock())
        self.scan_count = 0

    async def scan(self, prefix):
        self.scan_count += 1
        if self.scan_count > 1:
            await asyncio.Event().wait()
        return await super().scan(prefix)

    async def watch(self, prefix, after, wait_ms):
        raise StoreHistoryGoneError(prefix)


@pytest.fixture(name='store')
def make_store():
    return ForgetfulStore()


@pytest.fixture(name='application')
async def make_application(store):
    async def close():
        """Close nothing."""

    return NodeApplication(
        SETTINGS,
        PlatformAdapter(
            store=store,
            worker_adapter=WorkerAdapter('w/', None, None, None),
            operator_prefix='o/',
            decode_desired_state=lambda _, revision: DesiredState(
                revision=revision
            ),
            make_job_api=lambda *_: None,
            make_ready_handler=lambda _: None,
            reload_settings=lambda: msgspec.structs.replace(SETTINGS),
            close=close,
        ),
        ManualClock(),
    )


async def test_a_vm_may_campaign_while_it_reads_the_configuration_again(
    store, application
):
    """After each loss of the store's history no VM could become leader."""
    await store.commit((Write('o/configuration', b'1', 0),))
    is_configured = application._leadership.is_configured
    entries = application._operator_entries
    was_configured = is_configured()

    await entries.start()
    async with asyncio.timeout(5):
        while store.scan_count < 2:
            await asyncio.sleep(0.01)

    assert not was_configured
    assert is_configured()
    await entries.stop()
