"""Flags of the command line, and their values as one typed message."""

import getpass
import os
import uuid
from pathlib import Path

import msgspec
from absl import flags

from .cli_errors import CommandUsageError
from .ids import OperationId, Revision

ENTRY_VARIABLE = 'BULRUSHCOVE_ENTRY'
TOKEN_VARIABLE = 'BULRUSHCOVE_TOKEN'
DEFAULT_ENTRY = 'http://127.0.0.1:8000'
DEFAULT_WAIT_S = 10.0
# An entry VM may read back a lost answer for about twenty seconds.
DEFAULT_TIMEOUT_S = 30.0
DEFAULT_JOB_LIMIT = 200
OUTPUTS = ('table', 'json')


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the flags."""

    entries: tuple[str, ...]
    token: str
    output: str
    wait_s: float
    timeout_s: float
    dry_run: bool
    force: bool
    based_on: Revision | None
    operation: OperationId
    operator: str
    organisation: str
    state: str
    limit: int
    is_help_requested: bool


def define_flags() -> flags.FlagValues:
    """Return the flags of every command, not parsed yet."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    _define_connection(values)
    _define_change(values)
    flags.DEFINE_enum(
        'output',
        'table',
        OUTPUTS,
        'How answers are printed.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'organisation',
        '',
        'List only the jobs of this organisation.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'state',
        '',
        'List only the jobs in this state.',
        flag_values=values,
    )
    flags.DEFINE_integer(
        'limit',
        DEFAULT_JOB_LIMIT,
        'List at most so many jobs, the newest.',
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'help',
        False,
        'Show help on the command.',
        short_name='h',
        flag_values=values,
    )
    return values


def read_options(values: flags.FlagValues) -> Options:
    """Return the parsed flags; raises ``CommandUsageError``."""
    entries = values.entry or os.environ.get(ENTRY_VARIABLE, '').split(',')
    urls = tuple(entry.rstrip('/') for entry in entries if entry)
    for entry in urls:
        if not entry.startswith(('http://', 'https://')):
            raise CommandUsageError(
                f'--entry: found {entry!r}, allowed: an http or https URL',
            )
    return Options(
        entries=urls or (DEFAULT_ENTRY,),
        token=_read_token(values.token_file),
        output=values.output,
        wait_s=values.wait_seconds,
        timeout_s=values.timeout_seconds,
        dry_run=values.dry_run,
        force=values.force,
        based_on=values.based_on,
        operation=OperationId(values.operation or uuid.uuid4().hex),
        operator=values.operator or _login_name(),
        organisation=values.organisation,
        state=values.state,
        limit=values.limit,
        is_help_requested=values.help,
    )


def _define_connection(values: flags.FlagValues) -> None:
    flags.DEFINE_multi_string(
        'entry',
        [],
        'Address of an entry VM, such as http://10.0.0.1:8000; repeat it to '
        f'name several. Default: ${ENTRY_VARIABLE} (comma-separated), else '
        f'{DEFAULT_ENTRY}.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'token_file',
        '',
        f'File with the operator token. Default: ${TOKEN_VARIABLE}.',
        flag_values=values,
    )
    flags.DEFINE_float(
        'timeout_seconds',
        DEFAULT_TIMEOUT_S,
        'Seconds to wait for the answer of one entry VM.',
        lower_bound=0.1,
        flag_values=values,
    )


def _define_change(values: flags.FlagValues) -> None:
    flags.DEFINE_float(
        'wait_seconds',
        DEFAULT_WAIT_S,
        'Seconds to wait until an accepted change is in force on every VM; '
        '0: do not wait.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'dry_run',
        False,
        'Show what the change would do, and change nothing.',
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'force',
        False,
        'Take a failure domain out although that breaks guarantees, or name '
        'one that no VM is in.',
        flag_values=values,
    )
    flags.DEFINE_integer(
        'based_on',
        None,
        'Refuse if the thing was changed after this revision.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        'operation',
        '',
        'Id of the change: it is applied once however often it is sent. Give '
        'the id that a command of unknown outcome printed to send it again.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'operator',
        '',
        'Name that other operators see with the change. Default: your login.',
        flag_values=values,
    )


def _read_token(path: str) -> str:
    if not path:
        return os.environ.get(TOKEN_VARIABLE, '')
    try:
        return Path(path).read_text(encoding='utf-8').strip()
    except (OSError, ValueError) as exc:
        raise CommandUsageError(f'--token_file: {exc}') from exc


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''
