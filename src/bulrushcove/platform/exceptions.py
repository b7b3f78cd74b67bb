"""Errors of the adapter's own layer; callers see those of the ports."""

from ..exceptions import BulrushcoveError


class CallError(BulrushcoveError):
    """A call to the platform or a worker brought no answer."""


class NotSentError(CallError):
    """The call surely had no effect: there was no connection."""


class NoResponseError(CallError):
    """The call may have had its effect, or may have it later."""


class UndecodableError(BulrushcoveError):
    """A message does not have the published form."""


class TooLargeError(UndecodableError):
    """A message is over the operators' limit."""
