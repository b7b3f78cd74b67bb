"""Computes docs/CAPACITY-DAEMONS.md from measured slopes and message sizes."""

from typing import NamedTuple

from dev import capacity_target as target
from dev.capacity_sizes import Sizes

BYTES_PER_KB = 1000
# Writes of a job record: queued, attempt recorded, start recorded, running,
# ended, acknowledged.
WRITES_A_JOB = 6

HEAD = """# Capacity of the daemons with a platform of their own

Written by `make measure-capacity` at commit {commit}; do not edit. The slopes
below were measured on one machine with stand-ins. Each row takes them to the
two-year target: {workers} workers, {accelerators} accelerators, {tasks:,}
running tasks, {jobs:,} jobs a day, {organisations} organisations, {domains}
domains and {changes:,} configuration changes a day. The target names no number
of entry VMs; {vms}, as today, are counted.

| role | what | at the target | bound | met | mechanism that carries it |
|---|---|---|---|---|---|
"""

TAIL = """
## What misses and what would mend it

- A worker answers each round with a full report on each task, and a control
  reads it: both grow with the tasks and with the rounds. Reports of only what
  has changed since the last answer, and rounds as long as the lease allows (a
  third of it), would carry the same promises with a small part of the bytes and
  of the processor time.
- A heartbeat carries the views of all domains each second, asked and answered
  by both ends. Views only when they change, and one end asking, would leave a
  few hundred bytes a second.
- The fixed part of the memory is the interpreter and the libraries that the
  house style names.

## Not measured

Memory and processor time of an entry against organisations and callers, slopes
in entry VMs, and a whole cluster at the target size. 5.2 s for urgent starts is
measured on the decisions only (`reports/measure.md`).

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
        jobs=target.JOBS_A_DAY,
        organisations=target.ORGANISATIONS,
        domains=target.DOMAINS,
        changes=target.CONFIGURATION_CHANGES_A_DAY,
        vms=target.ENTRY_VMS,
    )
    rows = [
        *_control_rows(fits),
        *_worker_rows(fits),
        *_sharing_rows(sizes),
        *_platform_rows(fits),
    ]
    return f'{head}{"".join(map(_format_row, rows))}{TAIL}{table}'


def _extrapolate(fit: Fit) -> float:
    workers = target.WORKERS / target.DOMAINS
    tasks = target.TASKS / target.DOMAINS
    return fit.fixed + fit.worker * workers + fit.task * tasks


def _control_rows(fits: dict[str, Fit]) -> list[Row]:
    role = 'active control of one domain'
    return [
        Row(
            role,
            'processor time',
            _extrapolate(fits['cpu_percent']),
            '% of a core',
            target.CPU_PERCENT,
            'one batched message a worker a round; passes only on news',
        ),
        Row(
            role,
            'resident memory',
            _extrapolate(fits['resident_mb']),
            'MB',
            target.RESIDENT_MB,
            'typed structs; one process a VM; SDKs imported on use',
        ),
        Row(
            role,
            'bytes to and from its workers',
            _extrapolate(fits['worker_kb_s']),
            'KB/s',
            target.KB_S,
            'one batched message a worker a round',
        ),
    ]


def _worker_rows(fits: dict[str, Fit]) -> list[Row]:
    fit = fits['worker_kb_s']
    amount = fit.worker + fit.task * target.TASKS / target.WORKERS
    return [
        Row(
            'worker',
            'bytes to and from its control',
            amount,
            'KB/s',
            target.KB_S,
            'leases of all its tasks renewed in one message',
        ),
    ]


def _sharing_rows(sizes: Sizes) -> list[Row]:
    heartbeats_kb_s = (
        2 * (target.ENTRY_VMS - 1) * sizes.heartbeat / BYTES_PER_KB
    )
    changes_s = target.CONFIGURATION_CHANGES_A_DAY / target.S_A_DAY
    configuration_kb_s = changes_s * sizes.configuration / BYTES_PER_KB
    return [
        Row(
            'control of any VM',
            'heartbeats sent, asked and answered each second',
            2 * heartbeats_kb_s,
            'KB/s',
            target.KB_S,
            'one stream to each peer, domain views relayed in heartbeats',
        ),
        Row(
            'control of any VM',
            'configuration read',
            configuration_kb_s,
            'KB/s',
            target.KB_S,
            f'read only when newer; {sizes.configuration:,} bytes compressed',
        ),
    ]


def _platform_rows(fits: dict[str, Fit]) -> list[Row]:
    calls = _extrapolate(fits['platform_calls_s']) * target.ENTRY_VMS
    writes = target.JOBS_A_DAY * WRITES_A_JOB / target.S_A_DAY
    return [
        Row(
            'platform',
            'calls of all controls',
            calls,
            'calls/s',
            target.PLATFORM_CALLS_S,
            'polls of one key; no watch waits',
        ),
        Row(
            'platform',
            'writes of job records',
            writes,
            'writes/s',
            target.PLATFORM_WRITES_S,
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
