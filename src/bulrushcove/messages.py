"""Messages on the streams between processes of this system."""

from typing import TypeVar

import msgspec

from .configuration import Configuration
from .decoding import DECODE_ERRORS
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
    """First frame that each side of a stream sends."""

    vm: VmId
    domain: DomainName
    # 'control', 'entry' or 'node'.
    role: str
    incarnation: IncarnationId


class DomainView(msgspec.Struct, frozen=True):
    """State of a failure domain, reported by its active control."""

    domain: DomainName
    control: VmId
    epoch: Epoch
    workers: int
    usable_workers: int
    free_accelerators: int
    total_accelerators: int
    # Total accelerators of the largest rack and of the largest worker.
    largest_rack: int
    largest_worker: int
    queued_jobs: int
    running_jobs: int
    # Age of the report when it was sent, including the time at relays.
    age_ms: int = 0


class Heartbeat(msgspec.Struct, frozen=True):
    """Heartbeat between two controls; request and response are alike."""

    vm: VmId
    incarnation: IncarnationId
    revision: Revision
    # Age of the newest proof that ``revision`` was the newest configuration;
    # None without any. See ``permit``.
    proof_age_ms: int | None
    domains: tuple[DomainView, ...] = ()
    leaving: bool = False


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """Requests the configuration; the response is ``ConfigurationPush``."""

    newer_than: Revision


class ConfigurationPush(msgspec.Struct, frozen=True):
    """The sender's configuration; None if it is not newer than requested."""

    configuration: Configuration | None


class VmListRequest(msgspec.Struct, frozen=True):
    """Requests the newest ``VmList`` that the peer has read."""


class VmStatus(msgspec.Struct, frozen=True):
    """Status of one entry VM as known to a control; see ``ClusterView``."""

    vm: VmId
    domain: DomainName
    revision: Revision
    reachable: bool
    leaving: bool = False
    incarnation: IncarnationId = IncarnationId('')


class ClusterView(msgspec.Struct, frozen=True):
    """State of the system that a control sends to the entry of its VM.

    It is sent once per heartbeat interval.
    """

    vm_statuses: tuple[VmStatus, ...]
    domains: tuple[DomainView, ...]
    vms: tuple[VmEntry, ...]
    platform_reachable: bool
    # Age of the start permit of each domain that has one.
    permit_age_ms: dict[DomainName, int]


class JobNotice(msgspec.Struct, frozen=True):
    """Asks the active control of ``domain`` to check a job now.

    The response is ``JobStanding``.
    """

    job: JobId
    domain: DomainName
    traceparent: str = ''


class JobStanding(msgspec.Struct, frozen=True):
    """Last decision of the active control of the job's domain."""

    # Why the job waits; empty if it does not wait or is not known there yet.
    wait_reason: str = ''


class Acknowledged(msgspec.Struct, frozen=True):
    """Response to a message that only needs a confirmation of receipt."""


def parse_message(
    message_type: type[MessageType], fields: object
) -> MessageType:
    """Return the ``fields`` of a frame as a message of ``message_type``.

    Raises ``WireError`` naming the first field that is not valid.
    """
    try:
        return msgspec.convert(fields, message_type)
    except DECODE_ERRORS as exc:
        raise WireError(f'{message_type.__name__}: {exc}') from exc
