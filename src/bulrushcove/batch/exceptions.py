"""Errors of the batch layer."""

from ..exceptions import BulrushcoveError


class BatchError(BulrushcoveError):
    """Base of the errors about jobs of steps."""


class InvalidJobError(BatchError):
    """The submission can never run as it stands."""


class JobConflictError(BatchError):
    """The id is in use by a job with other content."""


class JobRefusedError(BatchError):
    """The job is not accepted and never runs.

    ``retry_after_s`` says when the same job could be taken.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Keep when to come back."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class RecordError(BatchError):
    """A stored record cannot be read."""
