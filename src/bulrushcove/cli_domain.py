"""Verbs for failure domains and for the status of the system."""

import msgspec

from .cli_change import make_change
from .cli_client import resource_path
from .cli_contract import fetch_configuration
from .cli_errors import ExitStatus
from .cli_output import Table, format_seconds, format_table, yes_no
from .cli_verbs import Command, Verb, open_client
from .operator_api import (
    DOMAINS_PATH,
    STATUS_PATH,
    ChangeOrder,
    DomainChange,
    DomainStatus,
    StatusResponse,
)
from .states import DomainState

DOMAIN_HEADER = (
    'domain',
    'state',
    'active control',
    'epoch',
    'permit age (s)',
    'usable workers',
    'free accelerators',
    'accelerators',
    'queued jobs',
    'running jobs',
)
VM_HEADER = ('VM', 'domain', 'revision in force', 'reachable', 'leaving')


async def _take_out_of_service(command: Command) -> ExitStatus:
    return await _change_state(command, DomainState.OUT_OF_SERVICE)


async def _bring_into_service(command: Command) -> ExitStatus:
    return await _change_state(command, DomainState.IN_SERVICE)


async def _change_state(command: Command, state: DomainState) -> ExitStatus:
    def make_body(order: ChangeOrder) -> DomainChange:
        return DomainChange(order, state)

    path = resource_path(DOMAINS_PATH, command.argument)
    async with open_client(command) as client:
        return await make_change(command, client, 'PUT', path, make_body)


async def _list(command: Command) -> ExitStatus:
    async with open_client(command) as client:
        configuration = await fetch_configuration(command, client)
        status = await client.get(STATUS_PATH, StatusResponse)
    # Shows the accepted states, which may not be in force on this VM yet.
    domains = tuple(
        msgspec.structs.replace(
            domain,
            state=configuration.domains.get(domain.domain),
        )
        for domain in status.domains
    )
    status = msgspec.structs.replace(status, domains=domains)
    command.show(status, _build_domain_table(status))
    return ExitStatus.DONE


async def _status(command: Command) -> ExitStatus:
    async with open_client(command) as client:
        status = await client.get(STATUS_PATH, StatusResponse)
    rows = tuple(
        (
            vm.vm,
            vm.domain,
            vm.revision,
            yes_no(vm.reachable),
            yes_no(vm.leaving),
        )
        for vm in status.vms
    )
    command.show_text(
        status,
        '\n'.join(
            (
                f'revision in force on this VM: {status.revision}',
                f'control view received: {yes_no(status.control_linked)}',
                f'platform reachable: {yes_no(status.platform_reachable)}',
                '',
                format_table(Table(VM_HEADER, rows)),
                '',
                format_table(_build_domain_table(status)),
            )
        ),
    )
    return ExitStatus.DONE


def _build_domain_table(status: StatusResponse) -> Table:
    rows = tuple(_build_domain_row(domain) for domain in status.domains)
    return Table(DOMAIN_HEADER, rows)


def _build_domain_row(status: DomainStatus) -> list[object]:
    state = status.state.value if status.state else 'not set'
    row = [status.domain, state]
    permit_age = format_seconds(status.permit_age_ms)
    view = status.view
    if view is None:
        # Without a report of an active control, only the permit is known.
        return [*row, None, None, permit_age]
    return [
        *row,
        view.control,
        view.epoch,
        permit_age,
        f'{view.usable_workers} of {view.workers}',
        view.free_accelerators,
        view.total_accelerators,
        view.queued_jobs,
        view.running_jobs,
    ]


VERBS = (
    Verb(
        'domain',
        'out',
        ('NAME',),
        'Take a failure domain out of service: no task starts there any more.',
        'bulrushcove domain out Guichón --dry_run',
        _take_out_of_service,
    ),
    Verb(
        'domain',
        'in',
        ('NAME',),
        'Bring a failure domain into service.',
        'bulrushcove domain in Guichón --wait_seconds=30',
        _bring_into_service,
    ),
    Verb(
        'domain',
        'list',
        (),
        'List the failure domains.',
        'bulrushcove domain list',
        _list,
    ),
    Verb(
        '',
        'status',
        (),
        'Show VMs, revisions in force, active controls, permits, platform.',
        'bulrushcove status --entry=http://10.0.0.1:8000',
        _status,
    ),
)
