"""Jobs on real processes while controls, workers and the platform fail."""

import asyncio
import signal

import aiohttp
import pytest
from absl import flags

from bulrushcove.ids import DomainName
from dev.demo import Demo
from dev.history.checker import check_history
from dev.launcher import LaunchOptions, control_name, launched
from dev.standins.faults import Faults

FIRST_DOMAIN = DomainName('Fray Bentos')
SECOND_DOMAIN = DomainName('Guichón')


class FaultyRun(Demo):
    """The demo's load under other faults; none may violate a property."""

    async def _inject_faults(self):
        frozen = control_name(await self._find_active_control(FIRST_DOMAIN))
        await self._wait_until(3)
        self.cluster.processes.signal(frozen, signal.SIGSTOP)
        # Longer than the leases of the control and of its tasks.
        await self._wait_until(18)
        self.cluster.processes.signal(frozen, signal.SIGCONT)
        await self._wait_until(20)
        self.cluster.put_faults('platform', Faults(down=True))
        await self._wait_until(30)
        self.cluster.put_faults('platform', Faults())
        await self._wait_until(33)
        worker = self._first_worker()
        self.cluster.put_faults(worker, Faults(frozen=True))
        await self._wait_until(36)
        self.cluster.kill(
            control_name(await self._find_active_control(SECOND_DOMAIN))
        )
        await self._wait_until(45)
        self.cluster.put_faults(worker, Faults())

    async def _find_active_control(self, domain):
        status = await self.operator.status()
        (view,) = [
            domain_status.view
            for domain_status in status.domains
            if domain_status.domain == domain
        ]
        return view.control

    def _first_worker(self):
        plan = self.cluster.find_domain(FIRST_DOMAIN)
        return plan.workers[0].description.worker


async def _run(cluster):
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        run = FaultyRun(cluster, session, seed=3)
        await run.configure()
        await run.run()
        await asyncio.sleep(3)
    return run.collect_history()


@pytest.mark.timeout(200)
def test_jobs_survive_freezes_outages_and_kills():
    flags.FLAGS(['test'])
    with launched(LaunchOptions()) as cluster:
        history = asyncio.run(_run(cluster))
    assert not check_history(history)
    assert history.tasks
