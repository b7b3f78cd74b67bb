"""The command line with running daemons and simulated services."""

import time
from pathlib import Path

import pytest

from bulrushcove.cli import main
from bulrushcove.cli_options import ENTRY_VARIABLE, TOKEN_VARIABLE
from bulrushcove.contract import Contract, GuaranteedShape
from bulrushcove.contract_file import format_contract
from bulrushcove.states import Adjacency
from dev.launch.settings_file import OPERATOR_TOKEN
from dev.launcher import SMALL_SIZE, LaunchOptions, launched
from dev.standins.faults import Faults

ROOT = Path(__file__).parent.parent
VIEW_TIMEOUT_S = 15
DOMAINS = ('Fray Bentos', 'Guichón', 'Centenario')
# Each domain has two workers of 8 accelerators in one rack.
CONTRACT = Contract(
    'Molino Ñandú',
    ('0' * 64,),
    (GuaranteedShape(16, Adjacency.RACK),),
    spare_domain='Guichón',
)


@pytest.fixture
def cluster(monkeypatch):
    # The daemons run the code under test.
    monkeypatch.setenv('PYTHONPATH', f'{ROOT / "src"}:{ROOT}')
    with launched(LaunchOptions(sizes=SMALL_SIZE)) as cluster:
        yield cluster


@pytest.fixture
def run(cluster, monkeypatch, capsys):
    """Return a function that runs a command; returns status and output."""
    entries = [f'http://127.0.0.1:{vm.entry_port}' for vm in cluster.entry_vms]
    monkeypatch.setenv(ENTRY_VARIABLE, ','.join(entries))
    monkeypatch.setenv(TOKEN_VARIABLE, OPERATOR_TOKEN)

    def run_command(*arguments):
        status = main(arguments)
        return status, *capsys.readouterr()

    return run_command


def wait_for_domain_views(run, cluster):
    """Wait until every entry VM reports every domain."""
    for vm in cluster.entry_vms:
        wait_for_domain_view(run, f'--entry=http://127.0.0.1:{vm.entry_port}')


def wait_for_domain_view(run, entry_flag):
    deadline_at_s = time.monotonic() + VIEW_TIMEOUT_S
    while time.monotonic() < deadline_at_s:
        _, out, _ = run('status', entry_flag)
        if all(f'{domain}  ' in out for domain in DOMAINS):
            return
        time.sleep(0.2)
    raise AssertionError(f'status without every domain:\n{out}')


@pytest.fixture
def contract_file(tmp_path):
    path = tmp_path / 'molino.toml'
    path.write_text(format_contract(CONTRACT), encoding='utf-8')
    return str(path)


def test_operators_change_contracts_and_domains(run, cluster, contract_file):
    wait_for_domain_views(run, cluster)
    for domain in DOMAINS:
        status, out, _ = run('domain', 'in', domain, '--wait_seconds=15')
        assert (status, 'in force on every VM' in out) == (0, True)
    assert run('contract', 'diff', contract_file)[1] == 'created\n'
    status, out, _ = run('contract', 'apply', contract_file)
    assert (status, 'accepted at revision 4' in out) == (0, True)
    assert 'Molino Ñandú' in run('contract', 'list')[1]
    assert '# Revision 4' in run('contract', 'show', 'Molino Ñandú')[1]
    status, out, _ = run('worker', 'list')
    assert (status, len(out.splitlines())) == (0, 7)
    status, out, _ = run('domain', 'out', 'Fray Bentos', '--dry_run')
    assert (status, 'breaks 0 guarantees' in out) == (0, True)
    assert run('domain', 'out', 'Fray Bentos')[0] == 0
    status, _, err = run('domain', 'out', 'Centenario')
    assert (status, 'Molino Ñandú' in err) == (1, True)
    status, _, err = run('domain', 'out', 'Fray Bento')
    assert (status, "did you mean 'Fray Bentos'?" in err) == (1, True)
    status, out, _ = run('domain', 'list')
    states = {line.split('  ')[0]: line for line in out.splitlines()}
    assert ' out ' in states['Fray Bentos']
    assert run('domain', 'in', 'Fray Bentos')[0] == 0
    assert run('contract', 'remove', 'Molino Ñandú')[0] == 0


def test_a_platform_outage_refuses_changes_and_shows_what_is_in_force(
    run, cluster
):
    wait_for_domain_views(run, cluster)
    assert run('domain', 'in', 'Guichón', '--wait_seconds=15')[0] == 0
    cluster.put_faults('platform', Faults(down=True))
    status, _, err = run('domain', 'out', 'Guichón')
    assert (status, 'nothing was changed' in err or 'no entry' in err) == (
        1,
        True,
    )
    status, _, err = run('contract', 'list')
    assert (status, 'this is revision 1' in err) == (0, True)
    cluster.put_faults('platform', Faults())
    assert run('domain', 'out', 'Guichón', '--wait_seconds=15')[0] == 0


def test_one_entry_vm_is_enough(run, cluster):
    wait_for_domain_views(run, cluster)
    first = cluster.entry_vms[0]
    cluster.kill(f'{first.vm}.entry')
    status, out, _ = run('domain', 'in', 'Guichón', '--wait_seconds=15')
    assert (status, 'in force on every VM' in out) == (0, True)
