"""Tasks of one simulated worker and the resources that they use."""

from bulrushcove.ids import AttemptId
from bulrushcove.states import TaskState
from bulrushcove.worker_api import TaskReservation, WorkerDescription
from dev.history.events import EventLog, TaskEvent, TaskStep
from dev.standins.simulated_task import SimulatedTask

MILLICORES_PER_CORE = 1000

TaskKey = tuple[AttemptId, int]


class TaskTable:
    """Tasks by attempt and part; logs their steps to the history."""

    def __init__(self, description: WorkerDescription, log: EventLog) -> None:
        """Start without tasks."""
        self.tasks: dict[TaskKey, SimulatedTask] = {}
        self._description = description
        self._log = log

    def find_by_attempt(self, attempt: AttemptId) -> list[SimulatedTask]:
        """Return the tasks of one attempt."""
        return [
            task
            for task in self.tasks.values()
            if task.reservation.attempt == attempt
        ]

    def remove_ended(self, attempt: AttemptId) -> None:
        """Remove the tasks of an attempt that hold no resources."""
        for task in self.find_by_attempt(attempt):
            if not task.holds_resources:
                self.tasks.pop((attempt, task.reservation.part))

    def find_shortage(self, reservation: TaskReservation) -> str:
        """Return which resource is short for ``reservation``; empty: none."""
        requirements = {
            'accelerators': reservation.accelerators,
            'cores': reservation.cores,
            'memory_mb': reservation.memory_mb,
        }
        for field, needed in requirements.items():
            free = getattr(self._description, field) - self._sum_reserved(field)
            if needed > free:
                return f'{field}: {needed} needed, {free} free'
        return ''

    def measure_usage(self) -> tuple[int, int]:
        """Return the millicores and MB that running tasks use."""
        running = [
            task.reservation
            for task in self.tasks.values()
            if task.state is TaskState.RUNNING
        ]
        cores = sum([reserved.cores for reserved in running])
        memory_mb = sum([reserved.memory_mb for reserved in running])
        return cores * MILLICORES_PER_CORE, memory_mb

    def log_step(
        self, task: SimulatedTask, step: TaskStep, at_s: float
    ) -> None:
        """Write one step of ``task`` to the history."""
        reserved = task.reservation
        self._log.write(
            TaskEvent(
                at_s=at_s,
                step=step,
                worker=self._description.worker,
                domain=self._description.domain,
                organisation=reserved.organisation,
                job=reserved.job,
                attempt=reserved.attempt,
                part=reserved.part,
                epoch=task.epoch,
                accelerators=reserved.accelerators,
            )
        )

    def _sum_reserved(self, field: str) -> int:
        return sum(
            getattr(task.reservation, field)
            for task in self.tasks.values()
            if task.holds_resources
        )
