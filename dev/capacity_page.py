"""Computes docs/CAPACITY-DAEMONS.md from measured slopes and message sizes."""

from typing import NamedTuple

from dev import capacity_target as target
from dev.capacity_sizes import Sizes

BYTES_PER_KB = 1000
# Writes of a job record: queued, attempt recorded, start recorded, running,
# ended, acknowledged.
WRITES_PER_JOB = 6

HEAD = """# Capacity of the daemons on a platform of their own

Written by `make measure-capacity` at commit {commit}; do not edit. The slopes
below were measured on one machine with stand-ins. Each row extrapolates them to
the two-year target: {workers} workers, {accelerators} accelerators, {tasks:,}
running tasks, {jobs:,} jobs a day, {organisations} organisations, {domains}
domains and {changes:,} configuration changes a day. The target states no number
of entry VMs; the rows assume {vms}, as today.

| role | what | at the target | bound | met | mechanism |
|---|---|---|---|---|---|
"""

TAIL = """
## Bounds that are not met, and possible remedies

- In each round, a worker sends a full report on each task and the control reads
  it: both costs grow with the number of tasks and of rounds. Reports of only
  what has changed since the last response, and rounds as long as the lease
  allows (a third of it), would keep the same guarantees at a small fraction of
  the bytes and of the processor time.
- Each second, both ends of a connection send a heartbeat request, and requests
  and responses carry the views of all domains. Sending views only when they
  change, and requests from one end only, would need a few hundred bytes a
  second.
- The fixed part of the memory is the interpreter and the libraries that the
  house style prescribes.

## Not measured

Memory and processor time of an entry by organisations and callers, slopes by
entry VMs, and a whole cluster at the target size. The 5.2 s for urgent starts
are measured for the scheduling decisions only (`reports/measure.md`).

## Slopes

"""


class Fit(NamedTuple):
    """Coefficients of a linear fit, and its largest absolute error."""

    fixed: float
    worker: float
    task: float
    max_error: float


class Row(NamedTuple):
    """One row of the page's table; ``bound`` None: no bound."""

    role: str
    quantity: str
    amount: float
    unit: str
    bound: float | None
    mechanism: str


def make_page(
    fits: dict[str, Fit], sizes: Sizes, table: str, commit: str
) -> str:
    """Return the page as Markdown; ``fits`` are by field of ``Cost``."""
    head = HEAD.format(
        commit=commit,
        workers=target.WORKERS,
        accelerators=target.ACCELERATORS,
        tasks=target.TASKS,
        jobs=target.JOBS_PER_DAY,
        organisations=target.ORGANISATIONS,
        domains=target.DOMAINS,
        changes=target.CONFIGURATION_CHANGES_PER_DAY,
        vms=target.ENTRY_VMS,
    )
    rows = [
        *_make_control_rows(fits),
        *_make_worker_rows(fits),
        *_make_sharing_rows(sizes),
        *_make_platform_rows(fits),
    ]
    return f'{head}{"".join(map(_format_row, rows))}{TAIL}{table}'


def _extrapolate(fit: Fit) -> float:
    workers = target.WORKERS / target.DOMAINS
    tasks = target.TASKS / target.DOMAINS
    return fit.fixed + fit.worker * workers + fit.task * tasks


def _make_control_rows(fits: dict[str, Fit]) -> list[Row]:
    role = 'active control of one domain'
    return [
        Row(
            role,
            'processor time',
            _extrapolate(fits['cpu_percent']),
            '% of a core',
            target.CPU_PERCENT,
            'one batched message per worker and round; passes only on changes',
        ),
        Row(
            role,
            'resident memory',
            _extrapolate(fits['resident_mb']),
            'MB',
            target.RESIDENT_MB,
            'typed structs; one process per VM; SDKs imported on first use',
        ),
        Row(
            role,
            'bytes to and from its workers',
            _extrapolate(fits['worker_kb_s']),
            'KB/s',
            target.KB_PER_S,
            'one batched message per worker and round',
        ),
    ]


def _make_worker_rows(fits: dict[str, Fit]) -> list[Row]:
    fit = fits['worker_kb_s']
    amount = fit.worker + fit.task * target.TASKS / target.WORKERS
    return [
        Row(
            'worker',
            'bytes to and from its control',
            amount,
            'KB/s',
            target.KB_PER_S,
            'leases of all its tasks renewed in one message',
        ),
    ]


def _make_sharing_rows(sizes: Sizes) -> list[Row]:
    heartbeats_kb_s = (
        2 * (target.ENTRY_VMS - 1) * sizes.heartbeat / BYTES_PER_KB
    )
    changes_per_s = (
        target.CONFIGURATION_CHANGES_PER_DAY / target.SECONDS_PER_DAY
    )
    configuration_kb_s = changes_per_s * sizes.configuration / BYTES_PER_KB
    return [
        Row(
            'control of any VM',
            'heartbeat requests and responses sent each second',
            2 * heartbeats_kb_s,
            'KB/s',
            target.KB_PER_S,
            'one stream to each peer, domain views relayed in heartbeats',
        ),
        Row(
            'control of any VM',
            'configuration read',
            configuration_kb_s,
            'KB/s',
            target.KB_PER_S,
            f'read only when newer; {sizes.configuration:,} bytes compressed',
        ),
    ]


def _make_platform_rows(fits: dict[str, Fit]) -> list[Row]:
    calls = _extrapolate(fits['platform_calls_s']) * target.ENTRY_VMS
    writes = target.JOBS_PER_DAY * WRITES_PER_JOB / target.SECONDS_PER_DAY
    return [
        Row(
            'platform',
            'calls of all controls',
            calls,
            'calls/s',
            target.PLATFORM_CALLS_PER_S,
            'polls of one key; no open watches',
        ),
        Row(
            'platform',
            'writes of job records',
            writes,
            'writes/s',
            target.PLATFORM_WRITES_PER_S,
            'compare-and-swap on state changes only',
        ),
    ]


def _format_row(row: Row) -> str:
    bound = '' if row.bound is None else f'{row.bound:g} {row.unit}'
    met = 'yes' if row.bound is None or row.amount <= row.bound else '**no**'
    return (
        f'| {row.role} | {row.quantity} | {row.amount:.2f} {row.unit} '
        f'| {bound} | {met} | {row.mechanism} |\n'
    )
