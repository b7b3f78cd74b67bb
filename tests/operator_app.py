"""Operator routes of an entry VM on a fake store, for tests."""

from aiohttp import web

from bulrushcove.clock import ManualClock
from bulrushcove.configuration import empty_configuration
from bulrushcove.configuration_store import ConfigurationStore
from bulrushcove.job_store import JobStore
from bulrushcove.messages import ClusterView, JobStanding, VmStatus
from bulrushcove.operator_jobs import OperatorJobs
from bulrushcove.operator_routes import add_operator_routes
from bulrushcove.operators import OperatorService
from bulrushcove.states import DomainState
from bulrushcove.vm_list import VmEntry
from bulrushcove.worker_api import WorkerDescription
from tests.fake_store import FakeStore

TOKEN = 'operator-token'
TOKEN_SHA256 = (
    '0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e'
)


async def no_sleep(_seconds):
    """Return at once."""


def check_any_domain_in_service(contracts, _workers, domains):
    """Report every contract unless a domain is in service."""
    if DomainState.IN_SERVICE in domains.values():
        return []
    return [f'{organisation}: no domain left' for organisation in contracts]


class OperatorApp:
    """The store, configuration and view that tests change."""

    def __init__(self, store: FakeStore | None = None) -> None:
        self.store = store or FakeStore()
        self.active_configuration = empty_configuration()
        self.revisions_by_vm = {'entry-1': 0, 'entry-2': 0}
        self.notices = []
        self.pushed_revisions = []
        self.has_view = True
        self.wait_reason = ''
        self.jobs = JobStore(self.store)
        self.service = OperatorService(
            ConfigurationStore(self.store, no_sleep),
            clock=ManualClock(),
            active_configuration=lambda: self.active_configuration,
            check=check_any_domain_in_service,
            workers=self._workers,
            push=self._push,
        )

    def view(self) -> ClusterView | None:
        if not self.has_view:
            return None
        entries = [
            VmEntry(vm, 'entry', 'Luleå', '127.0.0.1', 1)
            for vm in self.revisions_by_vm
        ]
        return ClusterView(
            vm_statuses=tuple(
                VmStatus(vm, 'Luleå', revision, reachable=True)
                for vm, revision in self.revisions_by_vm.items()
            ),
            domains=(),
            vms=tuple(entries),
            platform_reachable=True,
            permit_age_ms={'Luleå': 300},
        )

    def make_application(self) -> web.Application:
        app = web.Application()
        add_operator_routes(
            app.router,
            self.service,
            self.view,
            jobs=OperatorJobs(self.jobs, self._notify),
            token_sha256=[TOKEN_SHA256],
        )
        return app

    async def _workers(self):
        return [WorkerDescription('worker-1', 'Luleå', 'rack-å', 8, 32, 65536)]

    async def _push(self, configuration):
        self.pushed_revisions.append(configuration.revision)

    async def _notify(self, notice):
        self.notices.append(notice)
        return JobStanding(wait_reason=self.wait_reason)
