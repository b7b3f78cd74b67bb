"""Greeting of a process on streams to others."""

import uuid

from .ids import DomainName, IncarnationId, VmId
from .messages import Hello
from .settings import VmSettings

ENTRY_ROLE = 'entry'
CONTROL_ROLE = 'control'
NODE_ROLE = 'node'


def new_hello(vm: VmSettings, role: str) -> Hello:
    """Return the greeting of this run of a process of ``vm``."""
    return make_hello(vm.id, vm.domain, role)


def make_hello(vm: VmId, domain: DomainName, role: str) -> Hello:
    """Return the greeting of this run of a process on ``vm``."""
    return Hello(
        vm=vm,
        domain=domain,
        role=role,
        incarnation=IncarnationId(uuid.uuid4().hex),
    )
