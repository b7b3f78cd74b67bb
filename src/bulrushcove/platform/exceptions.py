"""Errors raised inside the adapter.

The adapter's clients translate them into the errors of the protocols that
they implement.
"""

from ..exceptions import BulrushcoveError


class CallError(BulrushcoveError):
    """A call to the platform or to a worker got no response."""


class NotSentError(CallError):
    """No connection was made, so the call had no effect."""


class UnidentifiedError(NotSentError):
    """The process at the address did not tell which worker it is."""


class NoResponseError(CallError):
    """The outcome is unknown: the call may still take effect later."""


class PartialResponseError(NoResponseError):
    """A large response began to arrive and did not end."""


class UndecodableError(BulrushcoveError):
    """A message or settings file does not match its schema."""


class TooLargeError(UndecodableError):
    """A message is larger than the limit set by the operators."""
