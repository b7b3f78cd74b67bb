"""One simulated task of a worker: progress and lease, no I/O."""

import msgspec

from bulrushcove.clock import MS_PER_S
from bulrushcove.ids import Epoch
from bulrushcove.states import TaskState
from bulrushcove.worker_api import TaskReport, TaskReservation

DEFAULT_RUN_MS = 1000
FULL_SPEED = 1.0
THROTTLED_SPEED = 0.5
CHECKPOINT_PREFIX = 'run_ms:'


class Payload(msgspec.Struct, frozen=True):
    """Task payload that controls the stand-in."""

    run_ms: int = DEFAULT_RUN_MS
    result: str = ''
    fail: bool = False
    # Whether the task can write checkpoints.
    checkpoint: bool = True


class SimulatedTask:
    """A reserved, running or ended task."""

    def __init__(
        self, reservation: TaskReservation, epoch: Epoch, expires_at_s: float
    ) -> None:
        """Reserve resources until ``expires_at_s``."""
        self.reservation = reservation
        self.epoch = epoch
        self.state = TaskState.RESERVED
        # When the reservation expires; after the start, the lease.
        self.expires_at_s = expires_at_s
        self.payload = parse_payload(reservation.payload)
        self.result = ''
        self._checkpoint = reservation.checkpoint
        self._checkpoint_ms = _checkpoint_run_ms(reservation.checkpoint)
        self._progress_ms = float(self._checkpoint_ms)
        self._progress_at_s = 0.0
        self._speed = FULL_SPEED

    @property
    def holds_resources(self) -> bool:
        """Return whether the task is reserved or running."""
        return self.state in {TaskState.RESERVED, TaskState.RUNNING}

    @property
    def finishes_at_s(self) -> float:
        """Return when the task will finish at its current speed."""
        left_ms = self.payload.run_ms - self._progress_ms
        return self._progress_at_s + left_ms / MS_PER_S / self._speed

    def start(self, epoch: Epoch, now_s: float, lease_ms: int) -> None:
        """Run from the checkpoint, under a lease of ``lease_ms``."""
        self.epoch = epoch
        self.state = TaskState.RUNNING
        self.expires_at_s = now_s + lease_ms / MS_PER_S
        self._progress_at_s = now_s

    def renew(self, now_s: float, lease_ms: int) -> None:
        """Renew the lease of a running task."""
        if self.state is TaskState.RUNNING:
            self.expires_at_s = now_s + lease_ms / MS_PER_S

    def write_checkpoint(self, now_s: float) -> None:
        """Checkpoint the progress, if the task supports checkpoints."""
        if self.state is TaskState.RUNNING and self.payload.checkpoint:
            self._update_progress(now_s)
            self._checkpoint_ms = int(self._progress_ms)
            self._checkpoint = f'{CHECKPOINT_PREFIX}{self._checkpoint_ms}'

    def throttle(self, now_s: float) -> None:
        """Run at half speed from now on."""
        if self.state is TaskState.RUNNING:
            self._update_progress(now_s)
            self._speed = THROTTLED_SPEED

    def end(self, state: TaskState, at_s: float, result: str) -> None:
        """End in ``state``; ``result`` is the result or the reason."""
        if self.state is TaskState.RUNNING:
            self._update_progress(at_s)
        self.state = state
        self.result = result

    def report(self, now_s: float) -> TaskReport:
        """Return the task as the worker reports it."""
        if self.state is TaskState.RUNNING:
            self._update_progress(now_s)
        reserved = self.reservation
        return TaskReport(
            attempt=reserved.attempt,
            job=reserved.job,
            part=reserved.part,
            state=self.state,
            organisation=reserved.organisation,
            accelerators=reserved.accelerators,
            cores=reserved.cores,
            memory_mb=reserved.memory_mb,
            result=self.result,
            checkpoint=self._checkpoint,
            checkpoint_run_ms=self._checkpoint_ms,
            run_ms=int(self._progress_ms),
        )

    def _update_progress(self, now_s: float) -> None:
        passed_ms = (now_s - self._progress_at_s) * MS_PER_S * self._speed
        self._progress_ms += passed_ms
        self._progress_at_s = now_s


def parse_payload(payload: str) -> Payload:
    """Decode ``payload``; returns the defaults if it is not valid."""
    try:
        return msgspec.json.decode(payload, type=Payload)
    except msgspec.DecodeError:
        return Payload()


def _checkpoint_run_ms(checkpoint: str) -> int:
    if not checkpoint.startswith(CHECKPOINT_PREFIX):
        return 0
    return int(checkpoint.removeprefix(CHECKPOINT_PREFIX))
