"""The platform's settings file."""

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from ..clock import MS_PER_S
from ..ids import DomainName, VmId
from ..node.settings import NodeSettings
from .exceptions import UndecodableError

PATH_VARIABLE = 'BULRUSHCOVE_CONFIG'


class _Listen(msgspec.Struct, rename='kebab'):
    front: str
    ready: str
    # Only where the role serves it: reached by the other VMs.
    control: str = ''


class _Store(msgspec.Struct, rename='kebab'):
    address: str
    min_ttl_ms: int = 1000


class _Bounds(msgspec.Struct, rename='kebab'):
    max_hold_ms: int = 6000
    grace_s: float = 6.0


class _Settings(msgspec.Struct, rename='kebab'):
    node: str
    ip: str
    zone: str
    # First and last port that is free for streams between VMs.
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _Store
    seeds: list[str] = []
    # Address of the placement adviser.
    advice: str = ''
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_node_settings() -> NodeSettings:
    """Read the file that the platform names in the environment.

    Raises ``UndecodableError`` naming the first field that does not fit.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    try:
        document = tomllib.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise UndecodableError(f'settings file {path!r}: {exc}') from exc
    return decode_node_settings(document)


def decode_node_settings(document: dict[str, Any]) -> NodeSettings:
    """Return the settings in ``document``; raises ``UndecodableError``."""
    try:
        found = msgspec.convert(document, _Settings, strict=False)
    except msgspec.ValidationError as exc:
        raise UndecodableError(f'settings: {exc}') from exc
    first_port, last_port = found.internal_ports
    own_streams = f'{found.ip}:{first_port}'
    return NodeSettings(
        vm=VmId(found.node),
        domain=DomainName(found.zone),
        ip=found.ip,
        caller_api_address=found.listen.front,
        readiness_address=found.listen.ready,
        stream_address=found.listen.control or own_streams,
        metrics_address=f'{found.ip}:{last_port}',
        seed_addresses=tuple(found.seeds),
        store_address=found.platform.address,
        adviser_address=found.advice,
        max_lease_ms=found.bounds.max_hold_ms,
        stop_grace_ms=int(found.bounds.grace_s * MS_PER_S),
        min_store_lease_ms=found.platform.min_ttl_ms,
    )
