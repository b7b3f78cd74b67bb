"""Settings of the daemons: one TOML file, checked as a whole at start."""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, get_type_hints

import msgspec

from .exceptions import SettingsError
from .ids import DomainName, VmId

MAX_PORT = 65535
MAX_DURATION_MS = 86_400_000
MAX_NAME_CHARACTERS = 64

Port = Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_PORT, description=f'0 to {MAX_PORT}'),
]
Milliseconds = Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=MAX_DURATION_MS,
        description=f'1 to {MAX_DURATION_MS} ms',
    ),
]
Bytes = Annotated[int, msgspec.Meta(ge=1, description='at least 1 byte')]
Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=MAX_NAME_CHARACTERS,
        description=f'1 to {MAX_NAME_CHARACTERS} characters',
    ),
]
IpAddress = Annotated[
    str,
    msgspec.Meta(pattern=r'^[0-9a-fA-F.:]+$', description='an IP number'),
]
HostPort = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[0-9a-fA-F.:\[\]]+:[0-9]+$',
        description='an IP number and a port, as 10.0.0.1:7001',
    ),
]
Url = Annotated[
    str,
    msgspec.Meta(pattern='^https?://', description='an http or https URL'),
]
LogFormat = Annotated[
    Literal['key_value', 'json'],
    msgspec.Meta(description="'key_value' or 'json'"),
]
LogLevel = Annotated[
    Literal['debug', 'info', 'warning', 'error'],
    msgspec.Meta(description="'debug', 'info', 'warning' or 'error'"),
]
Exporter = Annotated[
    Literal['none', 'log', 'otlp'],
    msgspec.Meta(description="'none', 'log' or 'otlp'"),
]


class VmSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Who this VM is."""

    id: VmId
    domain: DomainName


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """The entry process."""

    host: IpAddress = '127.0.0.1'
    port: Port
    max_body_bytes: Bytes = 4_194_304
    # Bodies up to this size are kept for another try.
    retry_body_bytes: Bytes = 262_144
    default_deadline_ms: Milliseconds = 30_000
    max_deadline_ms: Milliseconds = 600_000
    # How long the entry goes on accepting after its health check fails.
    balancer_interval_ms: Milliseconds = 2000
    # Hard end of a planned stop.
    stop_timeout_ms: Milliseconds = 660_000
    answer_retention_ms: Milliseconds = 300_000
    claim_retention_ms: Milliseconds = 86_400_000
    operator_token_sha256: tuple[str, ...] = ()


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The control process."""

    host: IpAddress = '127.0.0.1'
    # Streams of peer controls and of this VM's entry.
    stream_port: Port
    # Health, readiness and metrics.
    http_port: Port
    # Controls to ask while the VM list has never been read.
    peer_addresses: tuple[HostPort, ...] = ()
    poll_ms: Milliseconds = 1000
    heartbeat_ms: Milliseconds = 1000
    peer_silence_ms: Milliseconds = 3500
    start_permit_ttl_ms: Milliseconds = 3000
    control_lease_ms: Milliseconds = 6000
    remote_takeover_ms: Milliseconds = 15_000
    worker_round_ms: Milliseconds = 1000
    task_lease_ms: Milliseconds = 8000
    reservation_ms: Milliseconds = 2000
    worker_timeout_ms: Milliseconds = 1500
    job_retention_ms: Milliseconds = 86_400_000


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's services."""

    store_url: Url
    vm_list_url: Url
    store_timeout_ms: Milliseconds = 2000
    vm_list_poll_ms: Milliseconds = 2000


class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Logs on standard error."""

    format: LogFormat = 'key_value'
    level: LogLevel = 'info'


class TracingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Export of spans."""

    exporter: Exporter = 'none'
    otlp_url: Url = 'http://127.0.0.1:4318/v1/traces'


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The whole settings file of one entry VM."""

    vm: VmSettings
    entry: EntrySettings
    control: ControlSettings
    platform: PlatformSettings
    logs: LogSettings = LogSettings()
    tracing: TracingSettings = TracingSettings()


def load_settings(path: Path) -> Settings:
    """Read and check the settings file at ``path``.

    Raises an exception group of ``SettingsError``, one for each wrong key.
    """
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        error = SettingsError(str(path), str(exc), 'a TOML file')
        raise _group([error]) from exc
    return check_settings(document)


def check_settings(document: dict[str, Any]) -> Settings:
    """Return the settings in ``document``; raises as ``load_settings``."""
    errors = list(_unknown_keys('', Settings, document))
    for section, section_type in get_type_hints(Settings).items():
        table = document.get(section, {})
        errors.extend(_section_errors(section, section_type, table))
    if errors:
        raise _group(errors)
    return msgspec.convert(document, Settings)


def _group(errors: list[SettingsError]) -> ExceptionGroup[SettingsError]:
    return ExceptionGroup('settings are wrong', errors)


def _section_errors(
    section: str,
    section_type: type[msgspec.Struct],
    table: Any,
) -> Iterator[SettingsError]:
    if not isinstance(table, dict):
        yield SettingsError(section, table, 'a table')
        return
    yield from _unknown_keys(f'{section}.', section_type, table)
    hints = get_type_hints(section_type, include_extras=True)
    for field in msgspec.structs.fields(section_type):
        key = f'{section}.{field.name}'
        found = table.get(field.name, msgspec.UNSET)
        if found is not msgspec.UNSET:
            yield from _field_errors(key, found, hints[field.name])
        elif field.required:
            yield SettingsError(key, None, describe_type(hints[field.name]))


def _field_errors(
    key: str,
    found: Any,
    hint: Any,
) -> Iterator[SettingsError]:
    try:
        msgspec.convert(found, hint)
    except msgspec.ValidationError:
        yield SettingsError(key, found, describe_type(hint))


def _unknown_keys(
    prefix: str,
    section_type: type[msgspec.Struct],
    table: dict[str, Any],
) -> Iterator[SettingsError]:
    known = [field.name for field in msgspec.structs.fields(section_type)]
    allowed = ', '.join(known)
    for key, found in table.items():
        if key not in known:
            yield SettingsError(f'{prefix}{key}', found, allowed)


def describe_type(hint: Any) -> str:
    """Return in words what a field with type ``hint`` allows."""
    for meta in getattr(hint, '__metadata__', ()):
        if meta.description:
            return str(meta.description)
    base = getattr(hint, '__supertype__', hint)
    return getattr(base, '__name__', str(base))
