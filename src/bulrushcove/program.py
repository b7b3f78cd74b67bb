"""Starts a daemon: flags, settings, logs, traces and the service."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

from absl import app, flags
from mode import Worker
from mode.types import ServiceT

from .logs import setup_logs
from .settings import Settings, load_settings
from .tracing import setup_tracing

EXIT_USAGE = 2

_SETTINGS_FLAG = flags.DEFINE_string(
    'settings',
    None,
    'Path of the TOML settings file of this VM.',
)


def run_program(
    make_service: Callable[[Settings], ServiceT],
    name: str,
    *,
    starts_traces: bool = False,
) -> None:
    """Run the service of daemon ``name`` until a signal stops it.

    ``starts_traces`` is true for a daemon that handles callers' requests.

    Exits with status 2 when the settings are invalid, after printing one
    line per error.
    """

    def main(_arguments: list[str]) -> None:
        settings = _load_or_exit(name)
        setup_logs(settings.logs)
        setup_tracing(settings.tracing, name, starts_traces=starts_traces)
        worker = Worker(
            make_service(settings),
            override_logging=False,
            redirect_stdouts=False,
            quiet=True,
        )
        worker.execute_from_commandline()

    app.run(main)


def _load_or_exit(name: str) -> Settings:
    if not _SETTINGS_FLAG.value:
        _exit_usage(f'{name}: --settings=FILE is required')
    try:
        return load_settings(Path(_SETTINGS_FLAG.value))
    except ExceptionGroup as group:
        lines = [f'{name}: {error}' for error in group.exceptions]
        _exit_usage('\n'.join(lines))


def _exit_usage(message: str) -> NoReturn:
    sys.stderr.write(f'{message}\n')
    sys.exit(EXIT_USAGE)
