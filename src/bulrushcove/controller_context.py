"""Settings and services that the controllers of one process share."""

from collections.abc import Awaitable, Callable

import msgspec

from .clock import Clock
from .configuration_holder import ConfigurationHolder
from .domain_scheduler import Planner
from .ids import VmId
from .job_store import JobStore
from .messages import DomainView, JobNotice, JobStanding, VmStatus
from .permit import StartPermits
from .settings import ControlSettings
from .vm_list import VmEntry
from .worker_client import WorkerClient


class ControllerContext(msgspec.Struct, frozen=True):
    """Settings, services and callbacks of a domain controller."""

    vm: VmId
    settings: ControlSettings
    clock: Clock
    job_store: JobStore
    client: WorkerClient
    configuration_holder: ConfigurationHolder
    permits: StartPermits
    vms: Callable[[], tuple[VmEntry, ...]]
    views: Callable[[], tuple[DomainView, ...]]
    statuses: Callable[[], tuple[VmStatus, ...]]
    publish: Callable[[DomainView], None]
    notify: Callable[[JobNotice], Awaitable[JobStanding]]
    plan: Planner
