"""The operators' side of an entry VM, put together from its parts."""

from collections.abc import Sequence

from aiohttp import ClientSession, web

from .clock import Clock
from .configuration_store import ConfigurationStore
from .control_link import ControlLink
from .job_store import JobStore
from .operator_jobs import OperatorJobs
from .operator_routes import add_operator_routes
from .operators import Operators
from .packing import check_guarantees
from .settings import Settings
from .store import Store
from .vm_list import VmEntry
from .worker_client import WorkerClient
from .worker_survey import WorkerSurvey


class EntryOperators:
    """Makes and serves the operators of one entry VM."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        link: ControlLink,
        session: ClientSession,
        clock: Clock,
    ) -> None:
        """Write to ``store``; ask workers through ``session``."""
        self._settings = settings
        self._link = link
        self._jobs = OperatorJobs(JobStore(store), link.notify_job)
        client = WorkerClient(session, settings.control.worker_timeout_ms)
        self._operators = Operators(
            ConfigurationStore(store),
            clock=clock,
            held=lambda: self._link.configuration,
            check=check_guarantees,
            workers=WorkerSurvey(client, self._listed_vms),
        )

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Serve operators on ``router``."""
        add_operator_routes(
            router,
            self._operators,
            lambda: self._link.view,
            jobs=self._jobs,
            token_sha256=self._settings.entry.operator_token_sha256,
        )

    def _listed_vms(self) -> Sequence[VmEntry]:
        return self._link.view.vms if self._link.view else ()
