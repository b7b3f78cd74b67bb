"""Enumerations that are used in messages and stored records."""

from enum import Enum, unique


@unique
class Outcome(Enum):
    """Whether a request was executed, as far as is known."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@unique
class DomainState(Enum):
    """Whether operators allow tasks to start in a failure domain."""

    IN_SERVICE = 'in'
    OUT_OF_SERVICE = 'out'


@unique
class Adjacency(Enum):
    """How close together the accelerators of a gang or shape must be."""

    WORKER = 'worker'
    RACK = 'rack'
    DOMAIN = 'domain'


@unique
class Urgency(Enum):
    """Urgency of a request or job; urgent work is served first."""

    URGENT = 'urgent'
    NORMAL = 'normal'


@unique
class JobState(Enum):
    """State of a job, as stored in its record."""

    QUEUED = 'queued'
    STARTING = 'starting'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    # The job is not idempotent and its attempt may have run.
    UNKNOWN = 'unknown'
    # No worker that is left in the domain can run the job.
    UNRUNNABLE = 'unrunnable'

    @property
    def is_final(self) -> bool:
        """Return whether the state can no longer change."""
        return self not in {
            JobState.QUEUED,
            JobState.STARTING,
            JobState.RUNNING,
        }


@unique
class TaskState(Enum):
    """State of one task of a gang on a worker."""

    RESERVED = 'reserved'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    # Stopped by its control or because its lease expired.
    STOPPED = 'stopped'


@unique
class VmRole(Enum):
    """Role of a VM in the VM list."""

    ENTRY = 'entry'
    WORKER = 'worker'
    BACKEND = 'backend'


@unique
class VmState(Enum):
    """State of a VM in the VM list, which lags behind."""

    LIVE = 'live'
    # Draining: the VM is shutting down by plan.
    LEAVING = 'leaving'
