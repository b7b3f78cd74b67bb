"""Typed messages on the streams between this system's own processes."""

from typing import TypeVar

import msgspec

from .configuration import Configuration
from .exceptions import WireError
from .ids import (
    DomainName,
    Epoch,
    IncarnationId,
    JobId,
    Revision,
    VmId,
)
from .vm_list import VmEntry

MessageType = TypeVar('MessageType', bound=msgspec.Struct)


class Hello(msgspec.Struct, frozen=True):
    """First frame of each side of a stream."""

    vm: VmId
    domain: DomainName
    # 'control', 'entry' or 'node'.
    role: str
    incarnation: IncarnationId


class DomainView(msgspec.Struct, frozen=True):
    """A failure domain as its active control reports it."""

    domain: DomainName
    control: VmId
    epoch: Epoch
    workers: int
    usable_workers: int
    free_accelerators: int
    # Most accelerators that one rack, and one worker, has in all.
    total_accelerators: int
    largest_rack: int
    largest_worker: int
    queued_jobs: int
    running_jobs: int
    # Age of the report when it was sent on, summed over relays.
    age_ms: int = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """Question and answer of a heartbeat between two controls."""

    vm: VmId
    incarnation: IncarnationId
    revision: Revision
    # Age of the sender's proof of the configuration; None: it has none.
    proof_age_ms: int | None
    domains: tuple[DomainView, ...] = ()
    leaving: bool = False


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """Asks for the configuration; answered by ``ConfigurationPush``."""

    newer_than: Revision


class ConfigurationPush(msgspec.Struct, frozen=True):
    """The sender's configuration, where newer than asked for."""

    configuration: Configuration | None


class VmListRequest(msgspec.Struct, frozen=True):
    """Asks for the newest ``VmList`` that the peer has read."""


class VmStatus(msgspec.Struct, frozen=True):
    """One entry VM as a control sees it; part of ``ClusterView``."""

    vm: VmId
    domain: DomainName
    revision: Revision
    reachable: bool
    leaving: bool = False
    incarnation: IncarnationId = IncarnationId('')


class ClusterView(msgspec.Struct, frozen=True):
    """What a control tells its own entry, on change and once a second."""

    vm_statuses: tuple[VmStatus, ...]
    domains: tuple[DomainView, ...]
    vms: tuple[VmEntry, ...]
    platform_reachable: bool
    # Ages of the start permits of the domains; absent: none.
    permit_age_ms: dict[DomainName, int]


class JobNotice(msgspec.Struct, frozen=True):
    """Has the active control look at a job; answered by ``JobStanding``."""

    job: JobId
    domain: DomainName
    traceparent: str = ''


class JobStanding(msgspec.Struct, frozen=True):
    """What the active control of a job's domain last decided about it."""

    # Why the job waits; empty when it does not, or is not known there yet.
    wait_reason: str = ''


class Acknowledged(msgspec.Struct, frozen=True):
    """Answer to a message that asks for nothing but its receipt."""


def parse_message(
    message_type: type[MessageType], fields: object
) -> MessageType:
    """Return ``fields`` of a frame as a message of ``message_type``.

    Raises ``WireError`` naming the field that does not fit.
    """
    try:
        return msgspec.convert(fields, message_type)
    except msgspec.ValidationError as exc:
        raise WireError(f'{message_type.__name__}: {exc}') from exc
