"""Exit statuses of the command line and the errors that lead to them."""

from enum import IntEnum, unique

from .exceptions import BulrushcoveError


@unique
class ExitStatus(IntEnum):
    """What a script learns of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


class CommandError(BulrushcoveError):
    """A command that ends with ``status``; ``details`` are further lines."""

    status = ExitStatus.REFUSED

    def __init__(self, message: str, details: tuple[str, ...] = ()) -> None:
        """Keep what is printed."""
        super().__init__(message)
        self.details = details


class CommandRefusedError(CommandError):
    """Nothing was changed."""


class CommandUsageError(CommandError):
    """The command line itself is wrong."""

    status = ExitStatus.USAGE


class CommandOutcomeUnknownError(CommandError):
    """The command may or may not have taken effect."""

    status = ExitStatus.UNKNOWN
