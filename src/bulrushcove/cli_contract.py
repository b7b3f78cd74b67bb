"""Verbs for contracts."""

from pathlib import Path

from .cli_change import make_change
from .cli_client import EntryClient, resource_path
from .cli_errors import CommandRefusedError, CommandUsageError, ExitStatus
from .cli_output import EMPTY_CELL, Table, join_or_dash
from .cli_verbs import Command, Verb, open_client
from .configuration_diff import contract_differences
from .contract import Contract, GuaranteedShape
from .contract_file import format_contract, load_contract
from .names import unknown_name_message
from .operator_api import (
    CONTRACTS_PATH,
    ChangeOrder,
    ChangeResponse,
    ConfigurationResponse,
    ContractChange,
)

LIST_HEADER = (
    'organisation',
    'guaranteed (accelerators)',
    'shapes',
    'requests at once (max)',
    'queued jobs (max)',
    'urgent share (%)',
    'hidden domains',
    'spare domain',
)


async def fetch_configuration(
    command: Command,
    client: EntryClient,
) -> ConfigurationResponse:
    """Return the configuration; print a note if it may be outdated."""
    configuration = await client.get(CONTRACTS_PATH, ConfigurationResponse)
    if not configuration.stored:
        command.print_note(
            'the platform is unreachable: this is revision '
            f'{configuration.revision}, in force on the VM that was asked',
        )
    return configuration


async def _apply(command: Command) -> ExitStatus:
    contract = _read_contract(command.argument)

    def make_body(order: ChangeOrder) -> ContractChange:
        return ContractChange(order=order, contract=contract)

    path = resource_path(CONTRACTS_PATH, contract.organisation)
    async with open_client(command) as client:
        return await make_change(command, client, 'PUT', path, make_body)


async def _remove(command: Command) -> ExitStatus:
    def make_body(order: ChangeOrder) -> ChangeOrder:
        return order

    path = resource_path(CONTRACTS_PATH, command.argument)
    async with open_client(command) as client:
        return await make_change(command, client, 'DELETE', path, make_body)


async def _show(command: Command) -> ExitStatus:
    async with open_client(command) as client:
        configuration = await fetch_configuration(command, client)
    contract = configuration.contracts.get(command.argument)
    if contract is None:
        raise CommandRefusedError(
            unknown_name_message(
                'contract', command.argument, configuration.contracts
            ),
        )
    revision = configuration.revision
    comment = f'# Revision {revision}: apply with --based_on={revision}.\n'
    command.show_text(contract, comment + format_contract(contract).rstrip())
    return ExitStatus.DONE


async def _list(command: Command) -> ExitStatus:
    async with open_client(command) as client:
        configuration = await fetch_configuration(command, client)
    names = sorted(configuration.contracts)
    rows = tuple(_build_row(configuration.contracts[name]) for name in names)
    command.show(configuration, Table(LIST_HEADER, rows))
    return ExitStatus.DONE


async def _diff(command: Command) -> ExitStatus:
    contract = _read_contract(command.argument)
    async with open_client(command) as client:
        configuration = await fetch_configuration(command, client)
    name = contract.organisation
    current = configuration.contracts.get(name)
    differences = contract_differences(current, contract)
    change = ChangeResponse(
        changed=bool(differences),
        revision=configuration.revision,
        operation=command.options.operation,
        differences=differences,
    )
    text = '\n'.join(differences) or 'no difference'
    command.show_text(change, text)
    return ExitStatus.DONE


def _read_contract(file_name: str) -> Contract:
    try:
        return load_contract(Path(file_name))
    except ExceptionGroup as group:
        lines = tuple(str(error) for error in group.exceptions)
        raise CommandUsageError(f'{file_name}: wrong contract', lines) from None


def _build_row(contract: Contract) -> list[object]:
    guaranteed = contract.guaranteed
    return [
        contract.organisation,
        sum(shape.accelerators * shape.count for shape in guaranteed),
        join_or_dash(_describe_shape(shape) for shape in guaranteed),
        contract.requests.max_in_progress,
        contract.jobs.max_queued,
        contract.urgent_share_percent,
        join_or_dash(contract.hidden_domains),
        contract.spare_domain or EMPTY_CELL,
    ]


def _describe_shape(shape: GuaranteedShape) -> str:
    location = f' in {shape.domain}' if shape.domain else ''
    return (
        f'{shape.count} x {shape.accelerators} within one '
        f'{shape.adjacency.value}{location}'
    )


VERBS = (
    Verb(
        'contract',
        'apply',
        ('FILE',),
        "Create or replace an organisation's contract from a TOML file.",
        'bulrushcove contract apply celulosa.toml',
        _apply,
    ),
    Verb(
        'contract',
        'show',
        ('ORGANISATION',),
        'Print a contract as TOML.',
        'bulrushcove contract show "Pärlbar Söder"',
        _show,
    ),
    Verb(
        'contract',
        'list',
        (),
        'List the contracts.',
        'bulrushcove contract list --output=json',
        _list,
    ),
    Verb(
        'contract',
        'diff',
        ('FILE',),
        'Show what applying a file would change.',
        'bulrushcove contract diff celulosa.toml',
        _diff,
    ),
    Verb(
        'contract',
        'remove',
        ('ORGANISATION',),
        "Remove an organisation's contract.",
        'bulrushcove contract remove "Pärlbar Söder"',
        _remove,
    ),
)
