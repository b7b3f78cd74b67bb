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
LEAVING = {'leave': TicketState.IN_PROGRESS, 'give up': TicketState.QUEUED}


def contract(organisation='a', in_progress=4, queued=100, urgent=50):
    return Contract(
        organisation=organisation,
        token_sha256=(),
        requests=RequestLimits(max_in_progress=in_progress, max_queued=queued),
        urgent_share_percent=urgent,
    )


def admit(admission, made, *, urgent=False, now_s=0.0, deadline_s=FAR_S):
    ticket = Ticket(made.organisation, urgent, deadline_s, lambda: None)
    admission.admit(made, 1, now_s, ticket)
    admission.queue(ticket)
    return ticket


def observe_service(admission, made, service_s):
    """Let one request of the organisation take ``service_s``."""
    admit(admission, made)
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
def test_room_is_shared_by_contract_in_a_burst(weights, expected):
    admission = Admission()
    contracts = {
        name: contract(name, in_progress=weight)
        for name, weight in weights.items()
    }
    for made in contracts.values():
        for _ in range(40):
            admit(admission, made)
    granted = Counter()
    for _ in range(24):
        ticket = admission.grant(0)
        granted[ticket.organisation] += 1
        admission.remove(ticket)
    assert granted == expected


def test_late_comer_waits_for_one_request_of_a_burst():
    admission = Admission()
    for _ in range(100):
        admit(admission, contract('large', in_progress=50))
    for _ in range(20):
        admission.remove(admission.grant(0))
    small = admit(admission, contract('small', in_progress=5))
    for _ in range(2):
        admission.grant(0)
    assert small.place is TicketState.IN_PROGRESS


def test_urgent_goes_first_up_to_its_share():
    admission = Admission()
    made = contract(in_progress=4, urgent=50)
    for urgent in (False, False, False, False, True, True, True):
        admit(admission, made, urgent=urgent)
    granted = [admission.grant(0).urgent for _ in range(4)]
    assert granted == [True, True, False, False]
    assert admission.grant(0) is None


def test_queue_limit_names_the_contract():
    admission = Admission()
    made = contract(in_progress=1, queued=2)
    for _ in range(3):
        admit(admission, made)
    with pytest.raises(RefusedError) as caught:
        admit(admission, made)
    assert caught.value.field == 'requests.max_queued'
    assert caught.value.outcome is Outcome.NOT_RUN


def test_work_that_cannot_finish_in_time_is_refused_early():
    admission = Admission()
    made = contract(in_progress=1)
    observe_service(admission, made, 1.0)
    for _ in range(3):
        admit(admission, made, deadline_s=100)
    with pytest.raises(RefusedError, match='before its deadline'):
        admit(admission, made, deadline_s=3.5)
    admit(admission, made, deadline_s=4.5)


def test_queued_work_that_became_too_late_is_dropped():
    admission = Admission()
    made = contract(in_progress=2)
    observe_service(admission, made, 1.0)
    running = admit(admission, made)
    late = admit(admission, made, deadline_s=2.4)
    good = admit(admission, made, deadline_s=9.0)
    assert admission.grant(0) is running
    assert admission.grant(2.0) is good
    assert late.place is TicketState.GONE


def test_wrong_estimate_does_not_refuse_for_ever():
    admission = Admission()
    made = contract(in_progress=1)
    observe_service(admission, made, 60.0)
    ticket = admit(admission, made, deadline_s=1.0)
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
def test_counts_never_pass_a_limit(steps):
    admission = Admission()
    contracts = {'a': contract('a', 2, 3), 'b': contract('b', 1, 0)}
    tickets = []
    for step, name, urgent in steps:
        if step == 'arrive':
            with suppress(RefusedError):
                ticket = admit(admission, contracts[name], urgent=urgent)
                tickets.append(ticket)
        elif step == 'grant':
            admission.grant(0)
        else:
            _leave_first(admission, tickets, LEAVING[step])
        _check_counts(admission, contracts, tickets)


def _leave_first(admission, tickets, place):
    for ticket in [one for one in tickets if one.place is place][:1]:
        admission.remove(ticket, 0.1)


def _check_counts(admission, contracts, tickets):
    for place, counted in (
        (TicketState.IN_PROGRESS, admission.in_progress),
        (TicketState.QUEUED, admission.queued),
    ):
        assert counted == sum(one.place is place for one in tickets)
    for name, made in contracts.items():
        mine = [one for one in tickets if one.organisation == name]
        running = sum(one.place is TicketState.IN_PROGRESS for one in mine)
        waiting = sum(one.place is TicketState.QUEUED for one in mine)
        limits = made.requests
        assert running <= limits.max_in_progress
        assert running + waiting <= limits.max_in_progress + limits.max_queued
