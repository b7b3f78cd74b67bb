"""Errors raised by the batch scheduler."""

from enum import Enum

from ..exceptions import BulrushcoveError


class BatchError(BulrushcoveError):
    """Base class of all errors about batch jobs."""


class InvalidJobError(BatchError):
    """The job specification is invalid."""


class JobConflictError(BatchError):
    """The job id is already used by a job with different content."""


class JobCancelledError(JobConflictError):
    """The job id was cancelled before a job with it was accepted."""


class RefusalCause(Enum):
    """Why a job was refused."""

    # No worker has room for one of its tasks.
    UNPLACEABLE = 'unplaceable'
    # The pool has so much work that the job would end too late.
    OVERLOAD = 'overload'


class JobRefusedError(BatchError):
    """The job was refused and will not run.

    ``retry_after_s`` is the number of seconds after which the same job may be
    submitted again.
    """

    cause = RefusalCause.UNPLACEABLE

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Store the message and the retry delay in seconds."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class RecordError(BatchError):
    """A stored record cannot be decoded."""
