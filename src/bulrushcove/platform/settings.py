"""Decodes the TOML settings file that the platform provides."""

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from ..batch.records import MAX_RECORD_BYTES
from ..clock import MS_PER_S
from ..decoding import DECODE_ERRORS
from ..ids import DomainName, VmId
from ..node.settings import NodeSettings
from .exceptions import UndecodableError

SETTINGS_PATH_VARIABLE = 'BULRUSHCOVE_CONFIG'
_FILE_ERRORS = (OSError, *DECODE_ERRORS)


class _Listen(msgspec.Struct, rename='kebab'):
    # Address of the HTTP API for callers.
    front: str
    # Address of the readiness check.
    ready: str
    # Stream address for the other VMs; set only on roles that serve it.
    control: str = ''


class _Store(msgspec.Struct, rename='kebab'):
    address: str
    # Shortest lease that the store grants.
    min_ttl_ms: int = 1000
    # Largest value that it takes.
    value_bytes: int = MAX_RECORD_BYTES


class _Bounds(msgspec.Struct, rename='kebab'):
    # Longest lease that a worker grants for its runs.
    max_hold_ms: int = 6000
    # Time between SIGTERM and the forced stop of the program.
    grace_s: float = 6.0


class _Limits(msgspec.Struct, rename='kebab'):
    # Share of one core. The field ``cores`` is how many times as fast as the
    # reference that core is, not a number of cores.
    cpu_share: float = 1.0
    cores: float = 1.0
    # The process is ended beyond this memory; 0: not known, as for max_fds.
    memory_mb: int = 0
    max_fds: int = 0


class _Settings(msgspec.Struct, rename='kebab'):
    # The platform's node is a VM and its zone a failure domain.
    node: str
    ip: str
    zone: str
    # First and last port of the range reserved for traffic between VMs.
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Store
    # Stream addresses of other VMs to contact first.
    seeds: list[str] = []
    # Address of the placement adviser.
    advice: str = ''
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load_node_settings() -> NodeSettings:
    """Load the file named by the environment variable BULRUSHCOVE_CONFIG.

    Raises ``UndecodableError`` if the file cannot be read or a field is
    invalid; the message names the first such field.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE, '')
    try:
        document = tomllib.loads(Path(path).read_text(encoding='utf-8'))
    except _FILE_ERRORS as exc:
        raise UndecodableError(f'settings file {path!r}: {exc}') from exc
    return decode_node_settings(document)


def decode_node_settings(document: dict[str, Any]) -> NodeSettings:
    """Decode a parsed settings file; raises ``UndecodableError``."""
    try:
        decoded = msgspec.convert(document, _Settings, strict=False)
    except DECODE_ERRORS as exc:
        raise UndecodableError(f'settings: {exc}') from exc
    first_port, last_port = decoded.internal_ports
    default_stream_address = f'{decoded.ip}:{first_port}'
    return NodeSettings(
        vm=VmId(decoded.node),
        domain=DomainName(decoded.zone),
        ip=decoded.ip,
        caller_api_address=decoded.listen.front,
        readiness_address=decoded.listen.ready,
        stream_address=decoded.listen.control or default_stream_address,
        metrics_address=f'{decoded.ip}:{last_port}',
        seed_addresses=tuple(decoded.seeds),
        store_address=decoded.platform.address,
        adviser_address=decoded.advice,
        max_lease_ms=decoded.bounds.max_hold_ms,
        stop_grace_ms=int(decoded.bounds.grace_s * MS_PER_S),
        min_store_lease_ms=decoded.platform.min_ttl_ms,
        max_record_bytes=decoded.platform.value_bytes,
        cpu_cores=decoded.limits.cpu_share * decoded.limits.cores,
        memory_mb=decoded.limits.memory_mb,
        max_descriptors=decoded.limits.max_fds,
    )
