"""Errors of the node program."""

from http import HTTPStatus

from ..exceptions import BulrushcoveError


class NodeError(BulrushcoveError):
    """Base class of the errors of the node program."""


class ServiceUnavailableError(NodeError):
    """The request had no effect and cannot be served at present.

    ``retry_after_s`` is the time after which the caller may retry.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Keep ``retry_after_s`` for the response to the caller."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class OutcomeUnknownError(NodeError):
    """It is unknown whether the request took effect."""


class WriteWithdrawnError(BulrushcoveError):
    """The write was withdrawn before it could take effect."""


class WriteRejectedError(WriteWithdrawnError):
    """The write, or one that it must follow, can never be stored."""


class RequestRefusedError(NodeError):
    """The bytes of a request are outside the limits; it was not handled."""

    def __init__(self, status: HTTPStatus, message: str) -> None:
        """Keep ``status`` for the response."""
        super().__init__(message)
        self.status = status
