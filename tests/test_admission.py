from collections import Counter
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushcove.admission import Admission, Ticket, TicketState, share_per_vm
from bulrushcove.contract import Contract, RequestLimits
from bulrushcove.exceptions import RefusedError
from bulrushcove.states import Outcome

FAR_S = 1e9
REMOVABLE_STATES = {
    'leave': TicketState.IN_PROGRESS,
    'give up': TicketState.QUEUED,
}


def make_contract(organisation='a', in_progress=4, queued=100, urgent=50):
    return Contract(
        organisation=organisation,
        token_sha256=(),
        requests=RequestLimits(max_in_progress=in_progress, max_queued=queued),
        urgent_share_percent=urgent,
    )


def enqueue(admission, contract, *, urgent=False, now_s=0.0, deadline_s=FAR_S):
    ticket = Ticket(contract.organisation, urgent, deadline_s, lambda: None)
    admission.admit(contract, 1, now_s, ticket)
    admission.queue(ticket)
    return ticket


def observe_service(admission, contract, service_s):
    """Serve one request of the organisation in ``service_s``."""
    enqueue(admission, contract)
    admission.remove(admission.grant(0), service_s)


@pytest.mark.parametrize(
    ('limit', 'entries', 'share'),
    [(64, 7, 10), (1, 7, 1), (7, 7, 1), (0, 3, 0)],
)
def test_share_of_a_limit(limit, entries, share):
    assert share_per_vm(limit, entries) == share


@pytest.mark.parametrize(
    ('weights', 'expected'),
    [
        ({'a': 4, 'b': 4}, {'a': 12, 'b': 12}),
        ({'a': 6, 'b': 2}, {'a': 18, 'b': 6}),
    ],
)
def test_bursts_are_served_in_proportion_to_the_contracts(weights, expected):
    admission = Admission()
    contracts = {
        name: make_contract(name, in_progress=weight)
        for name, weight in weights.items()
    }
    for contract in contracts.values():
        for _ in range(40):
            enqueue(admission, contract)
    granted = Counter()
    for _ in range(24):
        ticket = admission.grant(0)
        granted[ticket.organisation] += 1
        admission.remove(ticket)
    assert granted == expected


def test_new_organisation_is_served_within_two_grants_of_a_burst():
    admission = Admission()
    for _ in range(100):
        enqueue(admission, make_contract('large', in_progress=50))
    for _ in range(20):
        admission.remove(admission.grant(0))
    small = enqueue(admission, make_contract('small', in_progress=5))
    for _ in range(2):
        admission.grant(0)
    assert small.state is TicketState.IN_PROGRESS


def test_urgent_requests_go_first_up_to_their_share():
    admission = Admission()
    contract = make_contract(in_progress=4, urgent=50)
    for urgent in (False, False, False, False, True, True, True):
        enqueue(admission, contract, urgent=urgent)
    granted = [admission.grant(0).is_urgent for _ in range(4)]
    assert granted == [True, True, False, False]
    assert admission.grant(0) is None


def test_queue_limit_names_the_contract():
    admission = Admission()
    contract = make_contract(in_progress=1, queued=2)
    for _ in range(3):
        enqueue(admission, contract)
    with pytest.raises(RefusedError) as caught:
        enqueue(admission, contract)
    assert caught.value.field == 'requests.max_queued'
    assert caught.value.outcome is Outcome.NOT_RUN


def test_request_that_would_miss_its_deadline_is_refused():
    admission = Admission()
    contract = make_contract(in_progress=1)
    observe_service(admission, contract, 1.0)
    for _ in range(3):
        enqueue(admission, contract, deadline_s=100)
    with pytest.raises(RefusedError, match='before its deadline'):
        enqueue(admission, contract, deadline_s=3.5)
    enqueue(admission, contract, deadline_s=4.5)


def test_queued_request_that_would_miss_its_deadline_is_removed():
    admission = Admission()
    contract = make_contract(in_progress=2)
    observe_service(admission, contract, 1.0)
    running = enqueue(admission, contract)
    late = enqueue(admission, contract, deadline_s=2.4)
    good = enqueue(admission, contract, deadline_s=9.0)
    assert admission.grant(0) is running
    assert admission.grant(2.0) is good
    assert late.state is TicketState.GONE


def test_overestimated_service_time_does_not_block_an_idle_organisation():
    admission = Admission()
    contract = make_contract(in_progress=1)
    observe_service(admission, contract, 60.0)
    ticket = enqueue(admission, contract, deadline_s=1.0)
    assert admission.grant(0) is ticket


@settings(derandomize=True, max_examples=150)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['arrive', 'grant', 'leave', 'give up']),
            st.sampled_from(['a', 'b']),
            st.booleans(),
        ),
        max_size=80,
    )
)
def test_counts_stay_within_the_limits(steps):
    admission = Admission()
    contracts = {'a': make_contract('a', 2, 3), 'b': make_contract('b', 1, 0)}
    tickets = []
    for step, name, urgent in steps:
        if step == 'arrive':
            with suppress(RefusedError):
                ticket = enqueue(admission, contracts[name], urgent=urgent)
                tickets.append(ticket)
        elif step == 'grant':
            admission.grant(0)
        else:
            _remove_first(admission, tickets, REMOVABLE_STATES[step])
        _check_counts(admission, contracts, tickets)


def _remove_first(admission, tickets, state):
    for ticket in [queued for queued in tickets if queued.state is state][:1]:
        admission.remove(ticket, 0.1)


def _check_counts(admission, contracts, tickets):
    for state, counted in (
        (TicketState.IN_PROGRESS, admission.in_progress),
        (TicketState.QUEUED, admission.queued),
    ):
        assert counted == sum(ticket.state is state for ticket in tickets)
    for name, contract in contracts.items():
        own = [ticket for ticket in tickets if ticket.organisation == name]
        running = sum(ticket.state is TicketState.IN_PROGRESS for ticket in own)
        waiting = sum(ticket.state is TicketState.QUEUED for ticket in own)
        limits = contract.requests
        assert running <= limits.max_in_progress
        assert running + waiting <= limits.max_in_progress + limits.max_queued
