"""Greeting of a process on streams to others."""

import uuid

from .ids import IncarnationId
from .messages import Hello
from .settings import VmSettings

ENTRY_ROLE = 'entry'
CONTROL_ROLE = 'control'


def new_hello(vm: VmSettings, role: str) -> Hello:
    """Return the greeting of this run of a process of ``vm``."""
    return Hello(
        vm=vm.id,
        domain=vm.domain,
        role=role,
        incarnation=IncarnationId(uuid.uuid4().hex),
    )
