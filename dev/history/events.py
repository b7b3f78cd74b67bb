"""Events of a run: one JSON line each, timed by the monotonic clock."""

from collections.abc import Iterable
from enum import Enum, unique
from pathlib import Path

import msgspec

from bulrushcove.ids import (
    AttemptId,
    BackendId,
    DomainName,
    Epoch,
    JobId,
    OrganisationId,
    RequestId,
    WorkerId,
)


@unique
class TaskStep(Enum):
    """What happened to a task on a worker."""

    RESERVE = 'reserve'
    # The reservation ended without a start.
    DROP = 'drop'
    START = 'start'
    FINISH = 'finish'
    FAIL = 'fail'
    STOP = 'stop'
    # The lease lapsed while the task ran.
    LAPSE = 'lapse'


@unique
class RequestStep(Enum):
    """What happened to a request on a backend server."""

    ARRIVE = 'arrive'
    REFUSE = 'refuse'
    RUN = 'run'
    END = 'end'


class TaskEvent(msgspec.Struct, frozen=True, tag='task'):
    """One state change of a task, logged by its worker."""

    at_s: float
    step: TaskStep
    worker: WorkerId
    domain: DomainName
    organisation: OrganisationId
    job: JobId
    attempt: AttemptId
    part: int
    epoch: Epoch
    accelerators: int = 0


class RequestEvent(msgspec.Struct, frozen=True, tag='request'):
    """One state change of a request, logged by its backend server."""

    at_s: float
    step: RequestStep
    backend: BackendId
    domain: DomainName
    organisation: OrganisationId
    request: RequestId


Event = TaskEvent | RequestEvent


class EventLog:
    """Appends events to a file, unbuffered, one line per event."""

    def __init__(self, path: Path) -> None:
        """Open ``path`` for appending."""
        self._log_file = path.open('ab', buffering=0)
        self._encoder = msgspec.json.Encoder()

    def write(self, event: msgspec.Struct) -> None:
        """Append ``event``."""
        self._log_file.write(self._encoder.encode_lines((event,)))

    def close(self) -> None:
        """Close the file."""
        self._log_file.close()


def read_events(paths: Iterable[Path]) -> list[Event]:
    """Return the events of all files sorted by time."""
    decoder = msgspec.json.Decoder(Event)
    events: list[Event] = []
    for path in paths:
        events.extend(decoder.decode_lines(path.read_bytes()))
    return sorted(events, key=_event_time_s)


def _event_time_s(event: Event) -> float:
    return event.at_s
