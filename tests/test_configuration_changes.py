import pytest

from bulrushcove.configuration import (
    MAX_KEPT_CHANGES,
    Subject,
    empty_configuration,
)
from bulrushcove.configuration_changes import (
    apply_contract,
    changes_since,
    find_change,
    remove_contract,
    set_domain,
)
from bulrushcove.configuration_codec import (
    decode_configuration,
    encode_configuration,
)
from bulrushcove.contract import Contract, GuaranteedShape, JobLimits
from bulrushcove.exceptions import ConfigurationError
from bulrushcove.states import DomainState

MILL = Contract(organisation='Celulosa Río', token_sha256=('a' * 64,))


def one_domain_configuration():
    return set_domain(
        empty_configuration(), 'Guichón', DomainState.IN_SERVICE, 'op-1'
    )


def test_each_change_makes_a_revision_and_is_recorded():
    configuration = apply_contract(
        one_domain_configuration(), MILL, 'op-2', operator='ana'
    )
    assert configuration.revision == 2
    assert find_change(configuration, 'op-2').differences == ('created',)
    changed = Contract(
        organisation='Celulosa Río',
        token_sha256=('b' * 64,),
        jobs=JobLimits(max_queued=5),
    )
    configuration = apply_contract(configuration, changed, 'op-3')
    assert configuration.changes[-1].differences == (
        'token_sha256: 1 -> 1 values, changed',
        'jobs.max_queued: 1000 -> 5',
    )
    configuration = remove_contract(configuration, 'Celulosa Río', 'op-4')
    assert configuration.contracts == {}
    encoded = encode_configuration(configuration)
    assert decode_configuration(encoded) == configuration


def test_changes_since_are_of_one_contract_or_domain():
    configuration = apply_contract(one_domain_configuration(), MILL, 'op-2')
    found = changes_since(configuration, 0, Subject.DOMAIN, 'Guichón')
    assert [change.operation for change in found] == ['op-1']
    assert not changes_since(configuration, 1, Subject.DOMAIN, 'Guichón')


def test_changes_since_a_revision_no_longer_kept_raise():
    configuration = one_domain_configuration()
    for step in range(MAX_KEPT_CHANGES):
        state = list(DomainState)[step % 2]
        configuration = set_domain(configuration, 'Guichón', state, f'{step}')
    assert len(configuration.changes) == MAX_KEPT_CHANGES
    with pytest.raises(ConfigurationError, match='too old'):
        changes_since(configuration, 0, Subject.DOMAIN, 'Guichón')


@pytest.mark.parametrize(
    ('contract', 'message'),
    [
        (Contract('a/b', ()), "organisation 'a/b'"),
        (Contract('', ()), 'organisation'),
        (Contract('x', (), spare_domain='Guichon'), "did you mean 'Guichón'"),
        (Contract('x', (), hidden_domains=('Y',)), 'known: Guichón'),
        (Contract('x', (), (GuaranteedShape(1, domain='Y'),)), 'known'),
        (Contract('x', ('a' * 64,)), 'another organisation'),
    ],
)
def test_invalid_contract_error_names_the_cause(contract, message):
    configuration = apply_contract(one_domain_configuration(), MILL, 'op-2')
    with pytest.raises(ConfigurationError, match=message):
        apply_contract(configuration, contract, 'op-3')


def test_removing_an_unknown_contract_suggests_a_name():
    configuration = apply_contract(one_domain_configuration(), MILL, 'op-2')
    with pytest.raises(ConfigurationError, match="did you mean 'Celulosa Río'"):
        remove_contract(configuration, 'celulosa rio', 'op-3')


@pytest.mark.parametrize('encoded', [b'', b'x', b'x\x9c'])
def test_corrupt_configuration_raises(encoded):
    with pytest.raises(ConfigurationError, match='stored configuration'):
        decode_configuration(encoded)
