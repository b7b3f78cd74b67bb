"""Settings files of the launched entry VMs."""

import hashlib
import json

import msgspec

from bulrushcove.settings import (
    ControlSettings,
    EntrySettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from dev.launch.topology import EntryVm

OPERATOR_TOKEN = 'operator-of-the-launched-cluster'


def make_settings(
    vm: EntryVm,
    platform: PlatformSettings,
    control_changes: dict[str, int],
    entry_changes: dict[str, int],
) -> Settings:
    """Return the settings of one entry VM."""
    token_sha256 = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return Settings(
        vm=VmSettings(id=vm.vm, domain=vm.domain),
        entry=EntrySettings(
            port=vm.entry_port,
            operator_token_sha256=(token_sha256,),
            **entry_changes,
        ),
        control=ControlSettings(
            stream_port=vm.stream_port,
            http_port=vm.control_http_port,
            **control_changes,
        ),
        platform=platform,
    )


def format_settings(settings: Settings) -> str:
    """Return ``settings`` as TOML."""
    lines: list[str] = []
    for section, fields in msgspec.to_builtins(settings).items():
        lines.append(f'[{section}]')
        for key, setting in fields.items():
            # JSON strings, numbers, booleans and arrays are TOML as well.
            lines.append(f'{key} = {json.dumps(setting, ensure_ascii=False)}')
    return '\n'.join([*lines, ''])
