"""Tasks of one simulated worker and its sync responses, no I/O."""

from collections.abc import Iterable

from bulrushcove.clock import MS_PER_S, Clock
from bulrushcove.ids import AttemptId, Epoch
from bulrushcove.states import TaskState
from bulrushcove.worker_api import (
    SyncRequest,
    SyncResponse,
    TaskReservation,
    WorkerDescription,
)
from dev.history.events import EventLog, TaskStep
from dev.standins.simulated_task import SimulatedTask
from dev.standins.task_table import TaskTable

# The reported resource usage is updated at this interval.
USAGE_LAG_S = 2.0
FAIL_AFTER_S = 0.05


class WorkerTasks:
    """Fencing epoch, reservations, leases and tasks of one worker."""

    def __init__(
        self, description: WorkerDescription, clock: Clock, log: EventLog
    ) -> None:
        """Start without tasks, at epoch zero."""
        self.description = description
        # Fails each task soon after its start.
        self.fails_everything = False
        self._clock = clock
        self._epoch = Epoch(0)
        self._table = TaskTable(description, log)
        # Attempts that were stopped; late reservations of them are refused.
        self._stopped_attempts: set[AttemptId] = set()
        self._usage = (0, 0)
        self._usage_at_s = clock.monotonic_s()

    def sync(self, request: SyncRequest) -> SyncResponse:
        """Apply the instructions of a request, unless its epoch is fenced."""
        if request.epoch < self._epoch:
            return SyncResponse(
                worker=self.description.worker,
                epoch=self._epoch,
                accepted=False,
            )
        self._epoch = request.epoch
        self.advance()
        self._stop(request.stop)
        self._forget(request.forget)
        refused = self._reserve(request)
        refused.update(self._start(request))
        self._update_tasks(request)
        return self._make_response(refused)

    def advance(self) -> None:
        """End tasks that have finished or whose lease has expired."""
        now_s = self._clock.monotonic_s()
        for key, task in tuple(self._table.tasks.items()):
            if task.state is TaskState.RUNNING:
                self._advance_running(task, now_s)
            elif (
                task.state is TaskState.RESERVED and task.expires_at_s <= now_s
            ):
                self._table.log_step(task, TaskStep.DROP, task.expires_at_s)
                self._table.tasks.pop(key)
        if now_s - self._usage_at_s >= USAGE_LAG_S:
            self._usage_at_s = now_s
            self._usage = self._table.measure_usage()

    def _advance_running(self, task: SimulatedTask, now_s: float) -> None:
        if task.finishes_at_s <= min(now_s, task.expires_at_s):
            self._finish(task, task.finishes_at_s)
        elif task.expires_at_s <= now_s:
            self._table.log_step(task, TaskStep.LAPSE, task.expires_at_s)
            task.end(TaskState.STOPPED, task.expires_at_s, 'lease lapsed')

    def _finish(self, task: SimulatedTask, at_s: float) -> None:
        if task.payload.fail:
            self._fail(task, at_s, 'failure requested by the payload')
            return
        self._table.log_step(task, TaskStep.FINISH, at_s)
        task.end(TaskState.FINISHED, at_s, task.payload.result)

    def _fail(self, task: SimulatedTask, at_s: float, reason: str) -> None:
        self._table.log_step(task, TaskStep.FAIL, at_s)
        task.end(TaskState.FAILED, at_s, reason)

    def _stop(self, attempts: Iterable[AttemptId]) -> None:
        now_s = self._clock.monotonic_s()
        for attempt in attempts:
            self._stopped_attempts.add(attempt)
            for task in self._table.find_by_attempt(attempt):
                self._stop_task(task, now_s)

    def _stop_task(self, task: SimulatedTask, now_s: float) -> None:
        if not task.holds_resources:
            return
        running = task.state is TaskState.RUNNING
        step = TaskStep.STOP if running else TaskStep.DROP
        self._table.log_step(task, step, now_s)
        task.end(TaskState.STOPPED, now_s, 'stopped by its control')

    def _forget(self, attempts: Iterable[AttemptId]) -> None:
        forgotten = set(attempts)
        self._stopped_attempts |= forgotten
        for attempt in forgotten:
            self._table.remove_ended(attempt)

    def _reserve(self, request: SyncRequest) -> dict[AttemptId, str]:
        refused: dict[AttemptId, str] = {}
        expires_at_s = (
            self._clock.monotonic_s() + request.reservation_ms / MS_PER_S
        )
        for reservation in request.reserve:
            key = (reservation.attempt, reservation.part)
            if key in self._table.tasks:
                continue
            reason = self._find_refusal(reservation)
            if reason:
                refused[reservation.attempt] = reason
                continue
            task = SimulatedTask(reservation, request.epoch, expires_at_s)
            self._table.tasks[key] = task
            self._table.log_step(
                task, TaskStep.RESERVE, self._clock.monotonic_s()
            )
        return refused

    def _find_refusal(self, reservation: TaskReservation) -> str:
        if reservation.attempt in self._stopped_attempts:
            return 'the attempt was stopped here'
        return self._table.find_shortage(reservation)

    def _start(self, request: SyncRequest) -> dict[AttemptId, str]:
        refused: dict[AttemptId, str] = {}
        now_s = self._clock.monotonic_s()
        for attempt in request.start:
            tasks = self._table.find_by_attempt(attempt)
            if not any(task.holds_resources for task in tasks):
                refused[attempt] = 'no reservation'
            for task in tasks:
                if task.state is TaskState.RESERVED:
                    task.start(request.epoch, now_s, request.lease_ms)
                    self._table.log_step(task, TaskStep.START, now_s)
                    self._fail_if_faulty(task, now_s)
        return refused

    def _fail_if_faulty(self, task: SimulatedTask, now_s: float) -> None:
        if self.fails_everything:
            self._fail(
                task, now_s + FAIL_AFTER_S, 'the worker fails everything'
            )

    def _update_tasks(self, request: SyncRequest) -> None:
        now_s = self._clock.monotonic_s()
        for attempt in request.renew:
            for renewed in self._table.find_by_attempt(attempt):
                renewed.renew(now_s, request.lease_ms)
        for task in tuple(self._table.tasks.values()):
            if task.reservation.attempt in request.checkpoint:
                task.write_checkpoint(now_s)
            if task.reservation.attempt in request.throttle:
                task.throttle(now_s)

    def _make_response(self, refused: dict[AttemptId, str]) -> SyncResponse:
        now_s = self._clock.monotonic_s()
        millicores, memory_mb = self._usage
        return SyncResponse(
            worker=self.description.worker,
            epoch=self._epoch,
            accepted=True,
            refused=refused,
            tasks=tuple(
                task.report(now_s) for task in self._table.tasks.values()
            ),
            used_millicores=millicores,
            used_memory_mb=memory_mb,
        )
