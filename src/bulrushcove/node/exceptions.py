"""Errors of the node program's layer."""

from ..exceptions import BulrushcoveError


class NodeError(BulrushcoveError):
    """Base of the errors of the node program."""


class ServiceUnavailableError(NodeError):
    """The call had no effect and cannot be served now.

    ``retry_after_s`` says when it is worth another try.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        """Keep when to come back."""
        super().__init__(message)
        self.retry_after_s = retry_after_s


class OutcomeUnknownError(NodeError):
    """Whether the call took effect is not known."""
