"""Waits until an accepted change is in force on every entry VM."""

import asyncio
import time

import msgspec

from .cli_client import EntryClient
from .cli_errors import CommandError, ExitStatus
from .cli_output import join_or_dash
from .cli_verbs import Command
from .ids import Revision, VmId
from .messages import VmStatus
from .operator_api import STATUS_PATH, ChangeResponse, StatusResponse

POLL_INTERVAL_S = 0.5


class ChangeReport(msgspec.Struct, frozen=True):
    """A change, and the VMs on which it is not in force yet."""

    change: ChangeResponse
    # None: the command did not wait.
    in_force_everywhere: bool | None = None
    waiting_for: tuple[VmId, ...] = ()


async def report_change(
    command: Command,
    client: EntryClient,
    change: ChangeResponse,
) -> ExitStatus:
    """Wait until ``change`` is in force on every VM and print the result.

    If it is not within ``--wait_seconds``, the report names the VMs that are
    behind and the status is ``UNKNOWN``.
    """
    report = ChangeReport(change)
    if command.options.wait_s:
        report = await _wait_until_in_force(command, client, change)
    command.show_text(report, _describe_report(report))
    if report.in_force_everywhere is False:
        return ExitStatus.UNKNOWN
    return ExitStatus.DONE


async def _wait_until_in_force(
    command: Command,
    client: EntryClient,
    change: ChangeResponse,
) -> ChangeReport:
    deadline_at_s = time.monotonic() + command.options.wait_s
    last_progress = ''
    while True:
        status = await _fetch_status(command, client)
        pending_vms = _find_pending_vms(status, change.revision)
        if status is not None and status.vms and not pending_vms:
            return ChangeReport(change, in_force_everywhere=True)
        progress = _describe_progress(status, pending_vms, change.revision)
        if progress != last_progress:
            command.print_note(progress)
            last_progress = progress
        if time.monotonic() >= deadline_at_s:
            waiting_for = tuple(vm.vm for vm in pending_vms)
            return ChangeReport(change, False, waiting_for)
        await asyncio.sleep(POLL_INTERVAL_S)


async def _fetch_status(
    command: Command, client: EntryClient
) -> StatusResponse | None:
    try:
        return await client.get(STATUS_PATH, StatusResponse)
    except CommandError:
        # The change is accepted; only its progress is unknown now.
        return None


def _find_pending_vms(
    status: StatusResponse | None,
    revision: Revision,
) -> tuple[VmStatus, ...]:
    vms = status.vms if status else ()
    return tuple(vm for vm in vms if vm.revision < revision or not vm.reachable)


def _describe_progress(
    status: StatusResponse | None,
    pending_vms: tuple[VmStatus, ...],
    revision: Revision,
) -> str:
    if status is None:
        return f'revision {revision} is accepted; no entry VM reports a status'
    if not status.vms:
        return (
            f'revision {revision} is accepted; the entry VM that responded '
            'does not know the other VMs'
        )
    done = len(status.vms) - len(pending_vms)
    waiting = join_or_dash(_describe_vm(vm) for vm in pending_vms)
    return (
        f'revision {revision} is in force on {done} of {len(status.vms)} VMs; '
        f'waiting for {waiting}'
    )


def _describe_vm(vm: VmStatus) -> str:
    reachability = '' if vm.reachable else ', unreachable'
    return f'{vm.vm} (revision {vm.revision}{reachability})'


def _describe_report(report: ChangeReport) -> str:
    change = report.change
    lines = [f'  {difference}' for difference in change.differences]
    lines.extend(f'  replaces {text}' for text in change.previous)
    if not change.changed:
        return f'nothing to change at revision {change.revision}'
    accepted = f'accepted at revision {change.revision}'
    if report.in_force_everywhere:
        accepted = f'{accepted}, in force on every VM'
    elif report.in_force_everywhere is False:
        accepted = f'{accepted}, NOT YET in force on every VM'
    return '\n'.join((accepted, *lines))
