"""Enumerations of the states and choices that messages carry."""

from enum import Enum, unique


@unique
class Outcome(Enum):
    """What is known of a request after its answer."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@unique
class DomainState(Enum):
    """Whether operators let tasks start in a failure domain."""

    IN_SERVICE = 'in'
    OUT_OF_SERVICE = 'out'


@unique
class Adjacency(Enum):
    """How near the accelerators of a gang or shape must be."""

    WORKER = 'worker'
    RACK = 'rack'
    DOMAIN = 'domain'


@unique
class Urgency(Enum):
    """Class of a request or job; urgent work is served first."""

    URGENT = 'urgent'
    NORMAL = 'normal'


@unique
class JobState(Enum):
    """State of a job's durable record."""

    QUEUED = 'queued'
    STARTING = 'starting'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    # The outcome of the attempt of a non-idempotent job is not known.
    UNKNOWN = 'unknown'
    # Set aside: the job cannot run on any worker that is left.
    UNRUNNABLE = 'unrunnable'

    @property
    def is_final(self) -> bool:
        """Return whether the record never changes its state again."""
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
    # Stopped by its control or because its lease lapsed.
    STOPPED = 'stopped'


@unique
class VmRole(Enum):
    """What a VM of the VM list is for."""

    ENTRY = 'entry'
    WORKER = 'worker'
    BACKEND = 'backend'


@unique
class VmState(Enum):
    """State of a VM as the lagging VM list tells it."""

    LIVE = 'live'
    LEAVING = 'leaving'
