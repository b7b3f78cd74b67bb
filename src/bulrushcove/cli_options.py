"""Flags of the command line, and a struct of their values."""

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
# After a lost store response an entry VM reads back for about 20 s.
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
    """Return the unparsed flags, which all commands share."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    _define_connection_flags(values)
    _define_change_flags(values)
    flags.DEFINE_enum(
        'output',
        'table',
        OUTPUTS,
        'Format of the output.',
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
        'List at most this many jobs, the newest.',
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'help',
        False,
        'Show help for the command.',
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


def _define_connection_flags(values: flags.FlagValues) -> None:
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
        'Seconds to wait for the response of one entry VM.',
        lower_bound=0.1,
        flag_values=values,
    )


def _define_change_flags(values: flags.FlagValues) -> None:
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
        'Show what the change would do without making it.',
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
        'Refuse if the contract or domain changed after this revision.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        'operation',
        '',
        'Id of the change: a change that is sent again with the same id is '
        'applied once. A command of unknown outcome prints the id to use.',
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
