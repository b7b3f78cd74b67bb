import pytest

from bulrushcove.configuration import Configuration
from bulrushcove.ids import DomainName
from bulrushcove.permit import StartPermits
from bulrushcove.states import DomainState

DOMAIN = DomainName('Luleå')
TTL_MS = 3000


def make_configuration(revision, state=DomainState.IN_SERVICE):
    return Configuration(revision, {}, {DOMAIN: state})


@pytest.mark.parametrize(
    ('age_s', 'state', 'allowed'),
    [
        (0, DomainState.IN_SERVICE, True),
        (3, DomainState.IN_SERVICE, True),
        (3.1, DomainState.IN_SERVICE, False),
        (0, DomainState.OUT_OF_SERVICE, False),
    ],
)
def test_a_start_needs_a_recent_proof_that_the_domain_is_in_service(
    age_s, state, allowed
):
    permits = StartPermits()
    permits.record_proof(4, proved_at_s=100)
    may_start = permits.may_start(
        DOMAIN, make_configuration(4, state), 100 + age_s, TTL_MS
    )
    assert may_start is allowed


def test_a_proof_of_an_unknown_revision_permits_no_start():
    permits = StartPermits()
    permits.record_proof(5, proved_at_s=100)
    assert not permits.may_start(DOMAIN, make_configuration(4), 100, TTL_MS)


def test_no_start_without_a_proof():
    assert not StartPermits().may_start(
        DOMAIN, make_configuration(1), 0, TTL_MS
    )


def test_an_older_proof_is_ignored():
    permits = StartPermits()
    permits.record_proof(4, proved_at_s=100)
    permits.record_proof(3, proved_at_s=90)
    assert permits.proof_age_ms(101) == 1000
