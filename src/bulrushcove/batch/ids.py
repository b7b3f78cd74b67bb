"""Identifiers of queues, pools, images, tasks, units and runs."""

from typing import NamedTuple, NewType

from ..ids import JobId

QueueName = NewType('QueueName', str)
PoolName = NewType('PoolName', str)
# Names what tasks run; those of one image behave alike.
ImageName = NewType('ImageName', str)


class TaskRef(NamedTuple):
    """One task of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    index: int


class UnitRef(NamedTuple):
    """One unit of one occurrence of a job: a whole gang or a single task."""

    job: JobId
    occurrence: int
    step: int
    index: int


class RunRef(NamedTuple):
    """One run of a task; run numbers of a task increase with every start."""

    task: TaskRef
    run: int
