import asyncio
import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from bulrushcove.cli import VERBS, main
from bulrushcove.cli_options import ENTRY_VARIABLE, TOKEN_VARIABLE
from bulrushcove.contract_file import load_contract
from bulrushcove.job import JobRecord, JobSpec
from bulrushcove.operator_api import ChangeOrder
from bulrushcove.states import JobState
from tests.operator_app import TOKEN, OperatorApp

CONTRACT = 'organisation = "Pärlbar Söder"\ntoken_sha256 = []\n'


@pytest.fixture
def operator_app():
    return OperatorApp()


@pytest.fixture
async def run(operator_app, aiohttp_server, monkeypatch, capsys):
    """Return a function that runs a command; returns status and output."""
    server = await aiohttp_server(operator_app.make_application())
    operator_app.url = str(server.make_url(''))
    monkeypatch.setenv(ENTRY_VARIABLE, operator_app.url)
    monkeypatch.setenv(TOKEN_VARIABLE, TOKEN)

    async def run_command(*arguments):
        status = await asyncio.to_thread(main, arguments)
        return status, *capsys.readouterr()

    return run_command


@pytest.fixture
def contract_file(tmp_path):
    path = tmp_path / 'contract.toml'
    path.write_text(CONTRACT, encoding='utf-8')
    return str(path)


@pytest.fixture
async def deployed(run, contract_file):
    """Bring a domain into service and apply a contract, without waiting."""
    assert (await run('domain', 'in', 'Luleå', '--wait_seconds=0'))[0] == 0
    applied = await run('contract', 'apply', contract_file, '--wait_seconds=0')
    assert applied[0] == 0


async def test_a_contract_is_applied_listed_and_shown(run, deployed):
    status, out, _ = await run('contract', 'list')
    assert status == 0
    assert out.splitlines()[1].startswith('Pärlbar Söder  0')
    status, out, _ = await run('contract', 'show', 'Pärlbar Söder')
    assert 'organisation = "Pärlbar Söder"' in out
    status, out, _ = await run('contract', 'list', '--output=json')
    assert json.loads(out)['revision'] == 2


async def test_the_command_names_vms_where_the_change_is_not_in_force(
    run, operator_app
):
    operator_app.revisions_by_vm = {'entry-1': 1, 'entry-2': 0}
    status, out, err = await run('domain', 'in', 'Luleå', '--wait_seconds=0.1')
    assert status == 3
    assert 'accepted at revision 1, NOT YET in force' in out
    assert 'in force on 1 of 2 VMs; waiting for entry-2 (revision 0)' in err


async def test_a_change_in_force_everywhere_exits_with_0(run, operator_app):
    operator_app.revisions_by_vm = {'entry-1': 1, 'entry-2': 1}
    status, out, _ = await run('domain', 'in', 'Luleå')
    assert status == 0
    assert 'in force on every VM' in out


async def test_taking_a_domain_out_shows_its_effects_and_can_be_forced(
    run, deployed
):
    status, out, _ = await run('domain', 'out', 'Luleå', '--dry_run')
    assert status == 0
    assert 'the change breaks 1 guarantees and affects 0 jobs' in out
    status, _, err = await run('domain', 'out', 'Luleå')
    assert status == 1
    assert 'Pärlbar Söder: no domain left' in err
    forced = await run('domain', 'out', 'Luleå', '--force', '--wait_seconds=0')
    assert forced[0] == 0
    status, out, _ = await run('domain', 'list')
    assert out.splitlines()[1].split()[:2] == ['Luleå', 'out']


@pytest.mark.parametrize(
    ('arguments', 'status', 'message'),
    [
        (['domain', 'in', 'Lulea'], 1, "did you mean 'Luleå'?"),
        (['contract', 'show', 'Parlbar'], 1, "did you mean 'Pärlbar Söder'?"),
        (['contract', 'remove', 'x'], 1, 'known: Pärlbar Söder'),
        (['contract', 'apply', 'absent.toml'], 2, 'absent.toml'),
        (['contract', 'aply', 'x'], 2, "did you mean 'contract apply'?"),
        (['contract', 'apply'], 2, 'found 0 arguments, allowed: 1'),
        (['status', '--ouput=json'], 2, 'output'),
        (['status', '--output=xml'], 2, 'table|json'),
        (['status', '--entry=10.0.0.1'], 2, 'an http or https URL'),
        (['status', '--token_file=/absent'], 2, '/absent'),
        ([], 2, 'contract apply FILE'),
    ],
)
async def test_errors_name_the_wrong_value(
    run, deployed, arguments, status, message
):
    found, _, err = await run(*arguments)
    assert (found, message in err) == (status, True), err


async def test_an_unknown_outcome_prints_the_operation_to_repeat(
    run, operator_app
):
    operator_app.store.lose_writes = 100
    status, _, err = await run('domain', 'in', 'Luleå', '--operation=op-7')
    assert status == 3
    assert '--operation=op-7 --based_on=0' in err


async def test_a_conflict_shows_the_other_operators_change(
    run, deployed, contract_file
):
    status, _, err = await run(
        'contract', 'apply', contract_file, '--based_on=1', '--operator=bo'
    )
    assert status == 1
    assert 'revision 2 by ' in err
    assert 'created' in err


async def test_a_retry_does_not_overwrite_a_later_change(
    run, deployed, operator_app, contract_file
):
    operator_app.store.lose_writes = 100
    remove = ('contract', 'remove', 'Pärlbar Söder', '--wait_seconds=0')
    status, _, err = await run(*remove, '--operation=op-7')
    assert (status, '--based_on=2' in err) == (3, True)
    operator_app.store.lose_writes = 0
    contract = load_contract(Path(contract_file))
    larger = msgspec.structs.replace(contract, urgent_share_percent=60)
    order = ChangeOrder('other', operator='bo')
    await operator_app.service.apply_contract(larger, order)
    retry = (*remove, '--operation=op-7', '--based_on=2')
    status, _, err = await run(*retry)
    assert (status, 'urgent_share_percent: 50 -> 60' in err) == (1, True)


async def test_an_unreachable_entry_vm_is_skipped(run, operator_app):
    entries = ('--entry=http://127.0.0.1:1', f'--entry={operator_app.url}')
    added = await run('domain', 'in', 'Luleå', '--wait_seconds=0', *entries)
    assert added[0] == 0
    status, _, err = await run('status', entries[0])
    assert (status, 'no entry VM responded' in err) == (1, True)


async def test_status_shows_vms_and_domains(run, deployed):
    status, out, _ = await run('status')
    assert status == 0
    assert 'platform reachable: yes' in out
    assert 'permit age (s)' in out


async def test_jobs_are_listed_shown_explained_and_cancelled(run, operator_app):
    spec = JobSpec('tally', payload='secret')
    record = JobRecord(
        'Pär bar/job-1', 'Pär bar', spec, JobState.QUEUED, 'Luleå', 1
    )
    await operator_app.jobs.create(record)
    for words, message in (
        (['list', '--state=queued', '--organisation=Pär bar'], 'Pär bar'),
        (['show', 'Pär bar/job-1'], 'idempotent'),
        (['explain', 'Pär bar/job-1'], "domain 'Luleå' is not in service"),
        (['cancel', 'Pär bar/job-1'], 'its cancellation is in progress'),
        (['list', '--output=json'], '"cancel_requested": true'),
    ):
        status, out, _ = await run('job', *words)
        assert (status, message in out, 'secret' in out) == (0, True, False)
    for words, message in (
        (['show', 'Parbar/job'], "did you mean 'Pär bar/job-1'?"),
        (['list', '--state=quued'], "did you mean 'queued'?"),
    ):
        status, _, err = await run('job', *words)
        assert (status, message in err) == (1, True)


async def test_workers_are_listed_with_units(run):
    status, out, _ = await run('worker', 'list')
    assert status == 0
    assert 'memory (MB)' in out
    assert out.splitlines()[1].split()[:2] == ['worker-1', 'Luleå']


def test_a_settings_file_is_checked_without_a_daemon(tmp_path, capsys):
    path = tmp_path / 'vm.toml'
    path.write_text('[vm]\nid = "a"\ndomain = 3\n[logs]\nlevel = "x"\n')
    assert main(['settings', 'check', str(path)]) == 1
    err = capsys.readouterr().err
    assert 'vm.domain: found 3, allowed: a string' in err
    assert "logs.level: found 'x'" in err


@pytest.mark.parametrize('verb', VERBS, ids=lambda verb: verb.usage)
def test_each_verb_has_help_with_an_example(verb, capsys):
    words = [word for word in (verb.group, verb.name) if word]
    assert main([*words, '--help']) == 0
    out = capsys.readouterr().out
    assert verb.example in out
    assert '--wait_seconds' in out


def test_help_does_not_import_the_http_library():
    code = (
        'import sys; from bulrushcove.cli import main; main(["--help"]); '
        'sys.exit("aiohttp" in sys.modules)'
    )
    path = {'PYTHONPATH': str(Path(__file__).parent.parent / 'src')}
    done = subprocess.run(
        [sys.executable, '-c', code], env=path, capture_output=True
    )
    assert (done.returncode, done.stderr) == (0, b'')
