"""State of one backend server: busy slots and whether it drains."""

from enum import Enum, unique

import msgspec

from bulrushcove.clock import Clock
from bulrushcove.ids import BackendId, DomainName, OrganisationId, RequestId
from dev.history.events import EventLog, RequestEvent, RequestStep

SLOTS = 8
MAX_CONNECTIONS = 64


class BackendDescription(msgspec.Struct, frozen=True):
    """One hosted backend server."""

    backend: BackendId
    domain: DomainName
    port: int


@unique
class Refusal(Enum):
    """Why a request was rejected before it ran; sent as X-Backend-State."""

    BUSY = 'busy'
    DRAINING = 'leaving'


class Work(msgspec.Struct, frozen=True):
    """Fields of a request body that control the stand-in."""

    service_ms: int = 0
    answer_bytes: int = 0


class BackendState:
    """Slots of one server, and the log of each request's steps."""

    def __init__(
        self, description: BackendDescription, clock: Clock, log: EventLog
    ) -> None:
        """Start with all slots free, not draining."""
        self.description = description
        self.busy = 0
        self.is_draining = False
        self._clock = clock
        self._log = log

    def find_refusal(self, connections: int) -> Refusal | None:
        """Return why a new request is rejected now; None: it may run."""
        if self.is_draining:
            return Refusal.DRAINING
        if self.busy >= SLOTS or connections > MAX_CONNECTIONS:
            return Refusal.BUSY
        return None

    def log_step(
        self,
        step: RequestStep,
        organisation: OrganisationId,
        request: RequestId,
    ) -> None:
        """Write one step of a request to the history."""
        self._log.write(
            RequestEvent(
                at_s=self._clock.monotonic_s(),
                step=step,
                backend=self.description.backend,
                domain=self.description.domain,
                organisation=organisation,
                request=request,
            )
        )


def parse_work(body: bytes) -> Work:
    """Decode the work in ``body``; returns the defaults if it is not valid."""
    try:
        return msgspec.json.decode(body, type=Work)
    except msgspec.DecodeError:
        return Work()
