"""Metrics of a control: its resource usage and the jobs of its domains."""

from collections.abc import Iterable

from mode import Service

from .domain_elections import DomainElections
from .ids import DomainName
from .job_store import StoredJob
from .metrics import Metrics
from .process_usage import cpu_s, resident_bytes
from .states import JobState
from .store_etcd import EtcdStore
from .worker_client import WorkerClient

UPDATE_INTERVAL_S = 1.0


class ControlMetrics(Service):
    """Updates the gauges once a second."""

    def __init__(
        self,
        metrics: Metrics,
        store: EtcdStore,
        client: WorkerClient,
        elections: DomainElections,
    ) -> None:
        """Register the gauges in ``metrics``."""
        super().__init__()
        self._store = store
        self._client = client
        self._elections = elections
        self._cpu_seconds = metrics.gauge(
            'bulrushcove_cpu_seconds', 'Processor time used so far.'
        )
        self._resident_bytes = metrics.gauge(
            'bulrushcove_resident_bytes', 'Resident memory of the process.'
        )
        self._platform_calls = metrics.gauge(
            'bulrushcove_platform_calls_total', 'Calls to the store so far.'
        )
        self._worker_bytes = metrics.gauge(
            'bulrushcove_worker_bytes_total',
            'Bytes of bodies exchanged with workers, by direction.',
        )
        self._jobs = metrics.gauge(
            'bulrushcove_open_jobs_total', 'Open jobs by domain and state.'
        )

    @Service.task
    async def _update_periodically(self) -> None:
        while not self.should_stop:
            self._update()
            await self.sleep(UPDATE_INTERVAL_S)

    def _update(self) -> None:
        self._cpu_seconds.set({}, cpu_s())
        self._resident_bytes.set({}, resident_bytes())
        self._platform_calls.set({}, self._store.calls)
        self._worker_bytes.set({'direction': 'out'}, self._client.sent_bytes)
        self._worker_bytes.set({'direction': 'in'}, self._client.received_bytes)
        for domain, controller in self._elections.controllers.items():
            self._count_jobs(domain, controller.domain_jobs.jobs.values())

    def _count_jobs(
        self, domain: DomainName, jobs: Iterable[StoredJob]
    ) -> None:
        states = [stored.record.state for stored in jobs]
        for state in JobState:
            if not state.is_final:
                labels = {'domain': domain, 'state': state.value}
                self._jobs.set(labels, states.count(state))
