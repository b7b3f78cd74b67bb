import pytest

from bulrushcove.contract import Contract, GuaranteedShape, RequestLimits
from bulrushcove.contract_file import format_contract, load_contract
from bulrushcove.states import Adjacency

CONTRACT = Contract(
    organisation='Te "Kött" & Sjö',
    token_sha256=('0' * 64,),
    guaranteed=(
        GuaranteedShape(8, Adjacency.WORKER, 'Luleå'),
        GuaranteedShape(16, Adjacency.RACK, count=2),
    ),
    requests=RequestLimits(max_queued=0),
    hidden_domains=('Göteborg',),
    spare_domain='Luleå',
)


@pytest.fixture
def path(tmp_path):
    return tmp_path / 'contract.toml'


def test_formatted_contract_loads_unchanged(path):
    path.write_text(format_contract(CONTRACT), encoding='utf-8')
    assert load_contract(path) == CONTRACT


def test_all_errors_are_reported_together(path):
    path.write_text(
        'organisation = "x"\n'
        'urgent_share_percent = 101\n'
        'token = "x"\n'
        'jobs = 3\n'
        '[requests]\nmax_queued = -1\n'
        '[[guaranteed]]\nadjacency = "racks"\n'
    )
    with pytest.raises(ExceptionGroup) as caught:
        load_contract(path)
    assert sorted(str(error) for error in caught.value.exceptions) == [
        'guaranteed[0].accelerators: found None, '
        'allowed: a whole number, 1 or more',
        "guaranteed[0].adjacency: found 'racks', "
        "allowed: 'worker' or 'rack' or 'domain'",
        'jobs: found 3, allowed: a table',
        'requests.max_queued: found -1, allowed: a whole number, 0 or more',
        "token: found 'x', allowed: organisation, token_sha256, guaranteed, "
        'requests, jobs, urgent_share_percent, hidden_domains, hidden_racks, '
        'spare_domain',
        'token_sha256: found None, '
        'allowed: a list, each 64 lower-case hexadecimal digits',
        'urgent_share_percent: found 101, allowed: 0 to 100',
    ]


@pytest.mark.parametrize('text', ['x', 'organisation = "a/b"\ntoken_sha256=[]'])
def test_invalid_or_missing_file_raises_one_group(path, text):
    path.write_text(text)
    with pytest.raises(ExceptionGroup, match='invalid settings'):
        load_contract(path)
    with pytest.raises(ExceptionGroup, match='invalid settings'):
        load_contract(path.with_name('absent'))
