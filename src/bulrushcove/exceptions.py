"""Errors of every layer; each names the thing and the value it is about."""

from .states import Outcome


class BulrushcoveError(Exception):
    """Base of all errors of this package."""


class StoreError(BulrushcoveError):
    """The platform's key-value service did not do what was asked."""


class StoreUnavailableError(StoreError):
    """The call surely had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The call may or may not have taken effect."""


class StoreHistoryGoneError(StoreError):
    """The changes asked for are no longer kept: read everything again."""


class WorkerError(BulrushcoveError):
    """A worker gave no usable answer; the effect is unknown."""


class BackendError(BulrushcoveError):
    """A backend server gave no whole answer."""


class WireError(BulrushcoveError):
    """A frame on a stream broke the protocol."""


class PeerUnreachableError(BulrushcoveError):
    """No live stream leads to the peer, or it did not answer in time."""


class ConfigurationError(BulrushcoveError):
    """A change of the configuration was refused.

    ``details`` holds one line for each thing that speaks against it.
    """

    def __init__(self, message: str, *, details: tuple[str, ...] = ()) -> None:
        """Keep the message and its details."""
        super().__init__(message)
        self.details = details


class ConfigurationConflictError(ConfigurationError):
    """Another operator changed the same thing in between."""


class GuaranteeBrokenError(ConfigurationError):
    """The change would break guarantees; the details name them."""


class SettingsError(BulrushcoveError):
    """One key of the settings file is wrong."""

    def __init__(self, key: str, found: object, allowed: str) -> None:
        """Describe ``key``, the value found and what is allowed."""
        super().__init__(f'{key}: found {found!r}, allowed: {allowed}')
        self.key = key


class RefusedError(BulrushcoveError):
    """A request or job that is not served; carried to the caller.

    ``status`` is the HTTP status; ``field`` and ``limit`` name what to
    change, when there is something to change.
    """

    def __init__(
        self,
        status: int,
        message: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        field: str = '',
        limit: str = '',
    ) -> None:
        """Keep what the error body tells."""
        super().__init__(message)
        self.status = status
        self.outcome = outcome
        self.field = field
        self.limit = limit
