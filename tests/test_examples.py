from pathlib import Path

import pytest

from bulrushcove.configuration import empty_configuration
from bulrushcove.configuration_changes import apply_contract, set_domain
from bulrushcove.contract_file import load_contract
from bulrushcove.guarantee_check import check_guarantees
from bulrushcove.settings import load_settings
from bulrushcove.states import DomainState
from bulrushcove.worker_api import WorkerDescription

EXAMPLES = Path(__file__).parent.parent / 'examples'
DEPLOYMENTS = {
    'litoral': {'Fray Bentos', 'Guichón', 'Centenario'},
    'parlko': {'Stockholm', 'Gothenburg', 'Luleå'},
}
WORKERS_PER_DOMAIN = 8


def workers_of(domains):
    return [
        WorkerDescription(
            f'{name}-{number}', name, f'rack {name}', 8, 32, 65536
        )
        for name in domains
        for number in range(WORKERS_PER_DOMAIN)
    ]


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_settings_of_all_seven_vms_load(deployment):
    paths = sorted((EXAMPLES / deployment / 'settings').glob('*.toml'))
    settings = [load_settings(path) for path in paths]
    assert len({loaded.vm.id for loaded in settings}) == 7
    assert {loaded.vm.domain for loaded in settings} == DEPLOYMENTS[deployment]
    assert [path.stem for path in paths] == [
        loaded.vm.id for loaded in settings
    ]


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_guarantees_of_all_four_contracts_fit_the_workers(deployment):
    domains = DEPLOYMENTS[deployment]
    configuration = empty_configuration()
    for name in domains:
        configuration = set_domain(
            configuration, name, DomainState.IN_SERVICE, name
        )
    paths = sorted((EXAMPLES / deployment / 'contracts').glob('*.toml'))
    for path in paths:
        contract = load_contract(path)
        configuration = apply_contract(configuration, contract, path.stem)
    contracts = configuration.contracts
    assert len(contracts) == 4
    workers = workers_of(domains)
    assert check_guarantees(contracts, workers, configuration.domains) == []
    too_few_workers = workers_of(list(domains)[:1])[:2]
    assert check_guarantees(contracts, too_few_workers, configuration.domains)
