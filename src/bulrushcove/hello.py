"""The hello that a process sends first on each stream."""

import uuid

from .ids import DomainName, IncarnationId, VmId
from .messages import Hello
from .settings import VmSettings

ENTRY_ROLE = 'entry'
CONTROL_ROLE = 'control'
NODE_ROLE = 'node'


def new_hello(vm: VmSettings, role: str) -> Hello:
    """Return the hello of this process, with a new incarnation.

    ``vm`` are the settings of its VM.
    """
    return make_hello(vm.id, vm.domain, role)


def make_hello(vm: VmId, domain: DomainName, role: str) -> Hello:
    """Return the hello of a process on ``vm``, with a new incarnation."""
    return Hello(
        vm=vm,
        domain=domain,
        role=role,
        incarnation=IncarnationId(uuid.uuid4().hex),
    )
