"""Settings of the daemons, read from one TOML file and validated at start."""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from .contract import Sha256Hex
from .ids import DomainName, VmId
from .toml_document import check_document, load_document

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
    """Identity of this VM."""

    id: VmId
    domain: DomainName


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the entry process."""

    host: IpAddress = '127.0.0.1'
    port: Port
    max_body_bytes: Bytes = 4_194_304
    # Request bodies up to this size are kept in memory for a retry.
    retry_body_bytes: Bytes = 262_144
    default_deadline_ms: Milliseconds = 30_000
    max_deadline_ms: Milliseconds = 600_000
    # How long a draining entry still accepts requests after its readiness
    # check fails, so that the load balancer notices.
    balancer_interval_ms: Milliseconds = 2000
    # Upper limit for the duration of a planned stop.
    stop_timeout_ms: Milliseconds = 660_000
    answer_retention_ms: Milliseconds = 300_000
    claim_retention_ms: Milliseconds = 86_400_000
    operator_token_sha256: tuple[Sha256Hex, ...] = ()


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the control process."""

    host: IpAddress = '127.0.0.1'
    # Connections from peer controls and from this VM's entry.
    stream_port: Port
    # Health, readiness and metrics.
    http_port: Port
    # Peer controls to contact until the VM list has been read once.
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
    """Addresses and timeouts of the platform's services."""

    store_url: Url
    vm_list_url: Url
    store_timeout_ms: Milliseconds = 2000
    vm_list_poll_ms: Milliseconds = 2000


class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the logs on standard error."""

    format: LogFormat = 'key_value'
    level: LogLevel = 'info'


class TracingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the export of spans."""

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

    Raises an exception group of ``SettingsError``, one for each invalid key.
    """
    return check_settings(load_document(path))


def check_settings(document: dict[str, Any]) -> Settings:
    """Return the settings in ``document``; raises like ``load_settings``."""
    return check_document(document, Settings)
