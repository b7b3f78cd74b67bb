"""Collaborators of the routes for callers' jobs."""

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
    """The part of the link to this VM's control that jobs use."""

    view: ClusterView | None

    async def notify_job(self, notice: JobNotice) -> JobStanding:
        """Tell the owner of the job's domain; raises when unreachable."""


class JobContext(NamedTuple):
    """Collaborators of the routes."""

    settings: EntrySettings
    domain: DomainName
    configuration: Callable[[], Configuration]
    tokens: TokenIndex
    job_store: JobStore
    watch: JobWatch
    control: ControlNotifier
    clock: Clock
