"""Builds the request of one round to one worker."""

from .clock import MS_PER_S
from .gang import Timing
from .ids import AttemptId, Epoch, VmId
from .instructions import Instructions
from .worker_api import SyncRequest, TaskReservation
from .worker_liveness import WorkerLiveness


class RequestBuilder:
    """Collects the instructions for all attempts on one worker."""

    def __init__(self) -> None:
        """Start without instructions."""
        self._reserve: list[TaskReservation] = []
        self._start: list[AttemptId] = []
        self._renew: list[AttemptId] = []
        self._checkpoint: list[AttemptId] = []
        self._stop: list[AttemptId] = []
        self._forget: list[AttemptId] = []

    def add(self, attempt: AttemptId, instructions: Instructions) -> None:
        """Add the instructions about ``attempt``."""
        self._reserve.extend(instructions.reserve)
        for is_included, attempts in (
            (instructions.start, self._start),
            (instructions.renew, self._renew),
            (instructions.checkpoint, self._checkpoint),
            (instructions.stop, self._stop),
        ):
            if is_included:
                attempts.append(attempt)

    def add_clean_up(self, liveness: WorkerLiveness) -> None:
        """Have the worker stop orphans and forget ended attempts."""
        self._forget.extend(liveness.to_forget)
        for attempt in liveness.orphans:
            if liveness.has_resources_of(attempt):
                self._stop.append(attempt)
            else:
                self._forget.append(attempt)

    def build(self, epoch: Epoch, control: VmId, timing: Timing) -> SyncRequest:
        """Return the request."""
        return SyncRequest(
            epoch=epoch,
            control=control,
            lease_ms=int(timing.lease_s * MS_PER_S),
            reservation_ms=int(timing.reservation_s * MS_PER_S),
            reserve=tuple(self._reserve),
            start=tuple(self._start),
            renew=tuple(self._renew),
            checkpoint=tuple(self._checkpoint),
            stop=tuple(self._stop),
            forget=tuple(self._forget),
        )
