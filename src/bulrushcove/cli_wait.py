"""Waits until an accepted change is in force on every entry VM."""

import asyncio
import time

import msgspec

from .cli_client import EntryClient
from .cli_errors import CommandError, ExitStatus
from .cli_output import joined
from .cli_verbs import Command
from .ids import Revision, VmId
from .messages import VmStatus
from .operator_api import STATUS_PATH, ChangeAnswer, StatusAnswer

POLL_INTERVAL_S = 0.5


class ChangeReport(msgspec.Struct, frozen=True):
    """A change and where it is not in force yet."""

    change: ChangeAnswer
    # None: it was not waited for.
    in_force_everywhere: bool | None = None
    waiting_for: tuple[VmId, ...] = ()


async def report_change(
    command: Command,
    client: EntryClient,
    change: ChangeAnswer,
) -> ExitStatus:
    """Print what became of ``change`` once it is in force everywhere.

    After ``--wait_seconds`` the VMs that are not there yet are named and the
    status is ``UNKNOWN``.
    """
    report = ChangeReport(change)
    if command.options.wait_s and not command.options.dry_run:
        report = await _wait(command, client, change)
    command.show_text(report, _describe(command, report))
    if report.in_force_everywhere is False:
        return ExitStatus.UNKNOWN
    return ExitStatus.DONE


async def _wait(
    command: Command,
    client: EntryClient,
    change: ChangeAnswer,
) -> ChangeReport:
    ends_s = time.monotonic() + command.options.wait_s
    told = ''
    while True:
        status = await _status(command, client)
        behind = _behind(status, change.revision)
        if status is not None and status.vms and not behind:
            return ChangeReport(change, in_force_everywhere=True)
        progress = _progress(status, behind, change.revision)
        if progress != told:
            command.note(progress)
            told = progress
        if time.monotonic() >= ends_s:
            waiting_for = tuple(vm.vm for vm in behind)
            return ChangeReport(change, False, waiting_for)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _status(command: Command, client: EntryClient) -> StatusAnswer | None:
    try:
        return await client.get(STATUS_PATH, StatusAnswer)
    except CommandError:
        # The change is accepted; only its progress cannot be told now.
        return None


def _behind(
    status: StatusAnswer | None,
    revision: Revision,
) -> tuple[VmStatus, ...]:
    vms = status.vms if status else ()
    return tuple(vm for vm in vms if vm.revision < revision or not vm.reachable)


def _progress(
    status: StatusAnswer | None,
    behind: tuple[VmStatus, ...],
    revision: Revision,
) -> str:
    if status is None:
        return f'revision {revision} is accepted; no entry VM tells its status'
    if not status.vms:
        return (
            f'revision {revision} is accepted; the entry VM that was asked '
            'does not know the others'
        )
    there = len(status.vms) - len(behind)
    waiting = joined(_describe_vm(vm) for vm in behind)
    return (
        f'revision {revision} is in force on {there} of {len(status.vms)} VMs; '
        f'waiting for {waiting}'
    )


def _describe_vm(vm: VmStatus) -> str:
    reached = '' if vm.reachable else ', unreachable'
    return f'{vm.vm} (revision {vm.revision}{reached})'


def _describe(command: Command, report: ChangeReport) -> str:
    change = report.change
    lines = [f'  {difference}' for difference in change.differences]
    lines.extend(f'  replaces {text}' for text in change.previous)
    if command.options.dry_run:
        return '\n'.join(('dry run, nothing was changed:', *lines))
    if not change.changed:
        return f'nothing to change at revision {change.revision}'
    accepted = f'accepted at revision {change.revision}'
    if report.in_force_everywhere:
        accepted = f'{accepted}, in force on every VM'
    elif report.in_force_everywhere is False:
        accepted = f'{accepted}, NOT YET in force on every VM'
    return '\n'.join((accepted, *lines))
