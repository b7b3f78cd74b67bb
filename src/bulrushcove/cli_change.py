"""Previews and makes a change of the configuration."""

from collections.abc import Callable

import msgspec

from .cli_client import EntryClient
from .cli_errors import CommandOutcomeUnknownError, ExitStatus
from .cli_verbs import Command
from .cli_wait import report_change
from .operator_api import ChangeOrder, ChangeResponse

MakeBody = Callable[[ChangeOrder], msgspec.Struct]
MAX_SHOWN_JOBS = 20


async def make_change(
    command: Command,
    client: EntryClient,
    method: str,
    path: str,
    make_body: MakeBody,
) -> ExitStatus:
    """Preview a change with a dry run, make it and report its result.

    The change is based on the revision of the preview, so a change of the
    same contract or domain by another operator in between is a conflict.
    """
    order = _make_order(command)
    dry_run_order = msgspec.structs.replace(order, dry_run=True)
    body = make_body(dry_run_order)
    preview = await client.request(method, path, ChangeResponse, body)
    if command.options.dry_run:
        command.show_text(preview, _describe_preview(preview))
        return ExitStatus.DONE
    if preview.broken_guarantees or preview.affected_jobs:
        command.print_note(_describe_preview(preview))
    if order.based_on is None:
        order = msgspec.structs.replace(order, based_on=preview.revision)
    try:
        change = await client.change(
            method, path, ChangeResponse, make_body(order)
        )
    except CommandOutcomeUnknownError as exc:
        raise CommandOutcomeUnknownError(
            'the outcome is unknown; send the same command again with '
            f'--operation={order.operation} --based_on={order.based_on}',
            exc.details,
        ) from exc
    return await report_change(command, client, change)


def _make_order(command: Command) -> ChangeOrder:
    options = command.options
    return ChangeOrder(
        operation=options.operation,
        operator=options.operator,
        based_on=options.based_on,
        force=options.force,
    )


def _describe_preview(preview: ChangeResponse) -> str:
    jobs = preview.affected_jobs
    broken = preview.broken_guarantees
    lines = [
        f'the change breaks {len(broken)} guarantees and affects '
        f'{len(jobs)} jobs',
    ]
    lines.extend(f'  {difference}' for difference in preview.differences)
    lines.extend(f'  guarantee {problem}' for problem in broken)
    lines.extend(f'  job {job}' for job in jobs[:MAX_SHOWN_JOBS])
    if len(jobs) > MAX_SHOWN_JOBS:
        lines.append(f'  and {len(jobs) - MAX_SHOWN_JOBS} more jobs')
    return '\n'.join(lines)
