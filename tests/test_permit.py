import pytest

from bulrushcove.configuration import Configuration
from bulrushcove.ids import DomainName
from bulrushcove.permit import StartPermits
from bulrushcove.states import DomainState

DOMAIN = DomainName('Luleå')
TTL_MS = 3000


def configured(revision, state=DomainState.IN_SERVICE):
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
def test_a_start_needs_a_recent_proof_of_service(age_s, state, allowed):
    book = StartPermits()
    book.record_proof(4, proved_at_s=100)
    found = book.may_start(DOMAIN, configured(4, state), 100 + age_s, TTL_MS)
    assert found is allowed


def test_a_proof_of_a_revision_not_held_allows_nothing():
    book = StartPermits()
    book.record_proof(5, proved_at_s=100)
    assert not book.may_start(DOMAIN, configured(4), 100, TTL_MS)


def test_without_a_proof_nothing_starts():
    assert not StartPermits().may_start(DOMAIN, configured(1), 0, TTL_MS)


def test_an_older_proof_changes_nothing():
    book = StartPermits()
    book.record_proof(4, proved_at_s=100)
    book.record_proof(3, proved_at_s=90)
    assert book.proof_age_ms(101) == 1000
