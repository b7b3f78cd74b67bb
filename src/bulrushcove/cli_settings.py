"""Verb that validates a settings file without starting a daemon."""

from pathlib import Path

from .cli_errors import CommandRefusedError, ExitStatus
from .cli_verbs import Command, Verb
from .settings import Settings, load_settings


async def _check(command: Command) -> ExitStatus:
    settings = _load(command.argument)
    command.show_text(
        settings,
        f'{command.argument}: settings of VM {settings.vm.id!r} in domain '
        f'{settings.vm.domain!r} are right',
    )
    return ExitStatus.DONE


def _load(file_name: str) -> Settings:
    try:
        return load_settings(Path(file_name))
    except ExceptionGroup as group:
        lines = tuple(str(error) for error in group.exceptions)
        raise CommandRefusedError(
            f'{file_name}: {len(lines)} errors',
            lines,
        ) from None


VERBS = (
    Verb(
        'settings',
        'check',
        ('FILE',),
        "Check a VM's settings file and report every error.",
        'bulrushcove settings check entry-1.toml',
        _check,
    ),
)
