"""Dependencies of the HTTP routes for callers' jobs."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from .authentication import TokenIndex
from .clock import Clock
from .configuration import Configuration
from .ids import DomainName
from .job_store import JobStore
from .job_watch import JobWatch
from .messages import ClusterView, JobNotice, JobStanding
from .settings import EntrySettings


class ControlNotifier(Protocol):
    """The part of ``ControlLink`` that the job routes use."""

    view: ClusterView | None

    async def notify_job(self, notice: JobNotice) -> JobStanding:
        """Notify the control that owns the job's domain.

        Raises ``PeerUnreachableError`` if it cannot be reached.
        """


class JobContext(NamedTuple):
    """Dependencies of the job routes."""

    settings: EntrySettings
    domain: DomainName
    configuration: Callable[[], Configuration]
    tokens: TokenIndex
    job_store: JobStore
    watch: JobWatch
    control: ControlNotifier
    clock: Clock
