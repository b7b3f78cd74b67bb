"""Verbs for jobs and workers."""

from .cli_client import resource_path
from .cli_errors import ExitStatus
from .cli_output import Table, join_or_dash, yes_no
from .cli_verbs import Command, Verb, open_client
from .operator_api import (
    JOBS_PATH,
    WORKERS_PATH,
    Explanation,
    JobList,
    JobSummary,
    WorkerList,
)

JOB_HEADER = (
    'job',
    'organisation',
    'kind',
    'state',
    'domain',
    'tasks',
    'accelerators',
    'urgency',
    'attempts',
    'reason',
)
FIELD_HEADER = ('field', 'value')
WORKER_HEADER = (
    'worker',
    'domain',
    'domain state',
    'rack',
    'accelerators',
    'cores',
    'memory (MB)',
)


async def _list(command: Command) -> ExitStatus:
    options = command.options
    query = {
        'organisation': options.organisation,
        'state': options.state,
        'limit': str(options.limit),
    }
    async with open_client(command) as client:
        job_list = await client.get(JOBS_PATH, JobList, query)
    rows = tuple(_build_row(job) for job in job_list.jobs)
    command.show(job_list, Table(JOB_HEADER, rows))
    if job_list.left_out:
        command.print_note(
            f'{job_list.left_out} older jobs are not shown (--limit)'
        )
    return ExitStatus.DONE


async def _show(command: Command) -> ExitStatus:
    path = resource_path(JOBS_PATH, command.argument)
    async with open_client(command) as client:
        job = await client.get(path, JobSummary)
    command.show(job, _fields(job))
    return ExitStatus.DONE


async def _explain(command: Command) -> ExitStatus:
    path = resource_path(JOBS_PATH, command.argument, 'explain')
    async with open_client(command) as client:
        explanation = await client.get(path, Explanation)
    command.show_text(explanation, '\n'.join(explanation.lines))
    return ExitStatus.DONE


async def _cancel(command: Command) -> ExitStatus:
    path = resource_path(JOBS_PATH, command.argument, 'cancel')
    async with open_client(command) as client:
        job = await client.change('POST', path, JobSummary)
    text = f'job {job.job!r} is {job.state.value}'
    if not job.state.is_final:
        text = f'{text}; its cancellation is in progress'
    command.show_text(job, text)
    return ExitStatus.DONE


async def _list_workers(command: Command) -> ExitStatus:
    async with open_client(command) as client:
        worker_list = await client.get(WORKERS_PATH, WorkerList)
    rows = tuple(
        (
            worker.worker,
            worker.domain,
            worker.domain_state,
            worker.rack,
            *(worker.accelerators, worker.cores, worker.memory_mb),
        )
        for worker in worker_list.workers
    )
    command.show(worker_list, Table(WORKER_HEADER, rows))
    return ExitStatus.DONE


def _build_row(job: JobSummary) -> list[object]:
    return [
        job.job,
        job.organisation,
        job.kind,
        job.state,
        job.domain,
        job.tasks,
        job.accelerators,
        job.urgency,
        job.attempts,
        job.reason,
    ]


def _fields(job: JobSummary) -> Table:
    fields: dict[str, object] = dict(
        zip(JOB_HEADER, _build_row(job), strict=True)
    )
    fields['adjacency'] = job.adjacency
    fields['idempotent'] = yes_no(job.idempotent)
    fields['accepted (ms since 1970)'] = job.accepted_unix_ms
    fields['ended (ms since 1970)'] = job.ended_unix_ms or None
    fields['attempt'] = job.attempt
    fields['workers'] = join_or_dash(job.workers)
    fields['borrowed'] = yes_no(job.borrowed)
    fields['cancellation requested'] = yes_no(job.cancel_requested)
    return Table(FIELD_HEADER, tuple(fields.items()))


VERBS = (
    Verb(
        'job',
        'list',
        (),
        'List jobs, oldest first.',
        'bulrushcove job list --state=queued --organisation="Pärlbar Söder"',
        _list,
    ),
    Verb(
        'job',
        'show',
        ('JOB',),
        'Show one job.',
        'bulrushcove job show review-17',
        _show,
    ),
    Verb(
        'job',
        'explain',
        ('JOB',),
        'Explain why a job waits and where it was placed.',
        'bulrushcove job explain review-17',
        _explain,
    ),
    Verb(
        'job',
        'cancel',
        ('JOB',),
        'Request the cancellation of a job.',
        'bulrushcove job cancel review-17',
        _cancel,
    ),
    Verb(
        'worker',
        'list',
        (),
        'List the workers that respond.',
        'bulrushcove worker list',
        _list_workers,
    ),
)
