"""The stored progress of a job: what it takes to go on after a failover.

That of thousands of tasks must be within what the store takes as one value, so
it names each worker once, and units in succession that are alike once.
"""

import msgspec

from .crash_history import CrashHistory
from .job_state import Allocation, Job, Unit

# From so many units on a record is compact; earlier versions do not read it.
MIN_COMPACT_UNITS = 1000

# Numbers of workers, with the start times of their processes.
_Hosts = dict[tuple[str, int], int]


class UnitRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one unit.

    ``workers`` and ``incarnations`` are those of records of earlier versions,
    in the order of the tasks; empty string: no allocation.
    """

    phase: int
    run: int
    failures: int
    checkpoint: str
    workers: tuple[str, ...] = ()
    # Start times of these workers' processes, in Unix milliseconds.
    incarnations: tuple[int, ...] = ()
    # Indices of the tasks that must not share these workers.
    isolated: tuple[int, ...] = ()
    # By index of the task.
    crashes: dict[int, CrashHistory] = msgspec.field(default_factory=dict)
    stalls: int = 0
    # Number of the run whose failure was counted last.
    failed_run: int = 0
    # Clocks of the workers when the tasks began there, in milliseconds.
    clocks_ms: tuple[int, ...] = ()
    # Positions of these workers in ``Progress.hosts``, from 1 on, in the order
    # of the tasks; 0: no allocation.
    hosts: tuple[int, ...] = ()


class UnitSpan(msgspec.Struct, frozen=True, array_like=True):
    """Units in succession that are alike: no allocation, nothing to keep."""

    first: int
    count: int
    phase: int
    run: int


class Progress(msgspec.Struct, frozen=True, array_like=True):
    """Value stored under ``bulrushcove/progress/``.

    ``units`` and ``spans`` hold the units that have ever run, by their position
    in the job's list of units.
    """

    phase: str
    has_started: bool
    ended_unix_ms: int
    reason: str
    units: dict[int, UnitRecord]
    # Ids of workers and start times of their processes, in Unix milliseconds.
    hosts: tuple[tuple[str, int], ...] = ()
    spans: tuple[UnitSpan, ...] = ()


def progress_of(job: Job, *, keeps_checkpoints: bool = True) -> Progress:
    """Return the progress of ``job``, with the checkpoints of its tasks or not.

    Earlier versions read that of a job of few units.
    """
    if len(job.units) < MIN_COMPACT_UNITS:
        return _spelt_out(job, keeps_checkpoints)
    hosts: _Hosts = {}
    units: dict[int, UnitRecord] = {}
    spans: list[UnitSpan] = []
    for position, unit in enumerate(job.units):
        if unit.allocations or (unit.run and not _is_plain(unit)):
            units[position] = _unit_record(unit, hosts, keeps_checkpoints)
        elif unit.run:
            _add_to_spans(spans, position, unit)
    return Progress(
        job.phase.value,
        job.has_started,
        job.ended_unix_ms,
        job.reason,
        units,
        tuple(hosts),
        tuple(spans),
    )


def _spelt_out(job: Job, keeps_checkpoints: bool) -> Progress:
    """Return the progress with the names of workers in each unit."""
    hosts: _Hosts = {}
    units: dict[int, UnitRecord] = {}
    for position, unit in enumerate(job.units):
        if unit.run:
            stored = _unit_record(unit, hosts, keeps_checkpoints)
            named = [None, *hosts]
            found = [named[number] or ('', 0) for number in stored.hosts]
            units[position] = msgspec.structs.replace(
                stored,
                hosts=(),
                workers=tuple(worker for worker, _ in found),
                incarnations=tuple(born for _, born in found),
            )
    return Progress(
        job.phase.value,
        job.has_started,
        job.ended_unix_ms,
        job.reason,
        units,
    )


def _is_plain(unit: Unit) -> bool:
    """Return whether phase and run say all that is known of ``unit``."""
    return not any(
        (
            unit.failures,
            unit.checkpoint,
            unit.crashes,
            unit.stalls,
            unit.failed_run,
        )
    )


def _add_to_spans(spans: list[UnitSpan], position: int, unit: Unit) -> None:
    phase = unit.phase.value
    if spans:
        last = spans[-1]
        is_next = last.first + last.count == position
        if is_next and (last.phase, last.run) == (phase, unit.run):
            spans[-1] = UnitSpan(last.first, last.count + 1, phase, unit.run)
            return
    spans.append(UnitSpan(position, 1, phase, unit.run))


def _unit_record(
    unit: Unit, hosts: _Hosts, keeps_checkpoint: bool
) -> UnitRecord:
    """Return the record of ``unit``; adds the workers it names to ``hosts``."""
    host_numbers: tuple[int, ...] = ()
    clocks_ms: tuple[int, ...] = ()
    isolated: tuple[int, ...] = ()
    if unit.allocations:
        found = [unit.allocations.get(index) for index in unit.indices]
        host_numbers = tuple(
            _number_host(one, hosts) if one else 0 for one in found
        )
        clocks_ms = tuple(one.started_clock_ms if one else 0 for one in found)
        isolated = tuple(
            one.index for one in unit.allocations.values() if one.is_isolated
        )
    return UnitRecord(
        unit.phase.value,
        unit.run,
        unit.failures,
        unit.checkpoint if keeps_checkpoint else '',
        isolated=isolated,
        crashes=unit.crashes,
        stalls=unit.stalls,
        failed_run=unit.failed_run,
        clocks_ms=clocks_ms,
        hosts=host_numbers,
    )


def _number_host(allocation: Allocation, hosts: _Hosts) -> int:
    host = (allocation.worker, allocation.worker_started_unix_ms)
    return hosts.setdefault(host, len(hosts) + 1)
