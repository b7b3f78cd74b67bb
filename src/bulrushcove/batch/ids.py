"""Names of tasks and runs."""

from typing import NamedTuple, NewType

from ..ids import JobId

QueueName = NewType('QueueName', str)
PoolName = NewType('PoolName', str)


class TaskRef(NamedTuple):
    """One task of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    index: int


class UnitRef(NamedTuple):
    """One unit of one occurrence of a job: a whole gang, or one task."""

    job: JobId
    occurrence: int
    step: int
    index: int


class RunRef(NamedTuple):
    """One start of a task; the numbers of a task's runs only grow."""

    task: TaskRef
    run: int
