"""Exceptions of all layers; each names the object and value concerned."""

from .states import Outcome


class BulrushcoveError(Exception):
    """Base class of all errors of this package."""


class StoreError(BulrushcoveError):
    """A call of the platform's key-value store failed."""


class StoreUnavailableError(StoreError):
    """The call definitely had no effect."""


class StoreRejectedError(StoreUnavailableError):
    """The store will never carry out the call as it is."""


class StoreLinkBusyError(StoreUnavailableError):
    """The store responds, but too slowly over the link of this VM."""


class StoreOutcomeUnknownError(StoreError):
    """The call may or may not have taken effect."""


class StoreHistoryGoneError(StoreError):
    """The requested changes are no longer kept; all keys must be read again."""


class WorkerError(BulrushcoveError):
    """A worker gave no usable response; the effect of the call is unknown."""


class BackendError(BulrushcoveError):
    """A backend server gave no complete response."""


class WireError(BulrushcoveError):
    """A frame on a stream violates the protocol."""


class PeerUnreachableError(BulrushcoveError):
    """There is no open stream to the peer, or it did not respond in time."""


class ConfigurationError(BulrushcoveError):
    """A change of the configuration was refused.

    ``details`` holds one line for each reason.
    """

    def __init__(self, message: str, *, details: tuple[str, ...] = ()) -> None:
        """Keep the message and its details."""
        super().__init__(message)
        self.details = details


class ConfigurationConflictError(ConfigurationError):
    """Another operator has changed the same contract or domain meanwhile."""


class GuaranteeBrokenError(ConfigurationError):
    """The change would break guarantees; ``details`` names them."""


class SettingsError(BulrushcoveError):
    """A key of a settings or contract file is invalid."""

    def __init__(self, key: str, found: object, allowed: str) -> None:
        """Name the key, the value found and the allowed values."""
        super().__init__(f'{key}: found {found!r}, allowed: {allowed}')
        self.key = key


class RefusedError(BulrushcoveError):
    """A request or job was refused; the caller gets this as the response.

    ``status`` is the HTTP status. ``field`` and ``limit`` name the field to
    change and its limit; empty if no change would help.
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
        """Keep what the response body contains."""
        super().__init__(message)
        self.status = status
        self.outcome = outcome
        self.field = field
        self.limit = limit
