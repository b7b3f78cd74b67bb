"""Exit statuses of the command line and the errors that cause them."""

from enum import IntEnum, unique

from .exceptions import BulrushcoveError


@unique
class ExitStatus(IntEnum):
    """Exit status of a command, for scripts."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


class CommandError(BulrushcoveError):
    """Ends the command with ``status``; ``details`` are printed as lines."""

    status = ExitStatus.REFUSED

    def __init__(self, message: str, details: tuple[str, ...] = ()) -> None:
        """Set the message and the lines that follow it."""
        super().__init__(message)
        self.details = details


class CommandRefusedError(CommandError):
    """The command was refused or failed without changing anything."""


class CommandUsageError(CommandError):
    """The command line is not valid."""

    status = ExitStatus.USAGE


class CommandOutcomeUnknownError(CommandError):
    """The command may or may not have taken effect."""

    status = ExitStatus.UNKNOWN
