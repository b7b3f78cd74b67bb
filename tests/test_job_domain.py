import pytest

from bulrushcove.configuration import Configuration
from bulrushcove.contract import Contract, GuaranteedShape
from bulrushcove.exceptions import RefusedError
from bulrushcove.job import JobSpec
from bulrushcove.job_domain import choose_domain
from bulrushcove.messages import DomainView
from bulrushcove.states import DomainState

IN_SERVICE = DomainState.IN_SERVICE
SPEC = JobSpec(kind='review', tasks=2, accelerators_per_task=4)


def view(domain, free, queued=0):
    return DomainView(
        domain=domain,
        control='vm',
        epoch=1,
        workers=8,
        usable_workers=8,
        free_accelerators=free,
        total_accelerators=64,
        largest_rack=64,
        largest_worker=8,
        queued_jobs=queued,
        running_jobs=0,
    )


def choose(views, contract=None, states=None):
    states = states or {found.domain: IN_SERVICE for found in views}
    return choose_domain(
        SPEC,
        contract or Contract('mill', ()),
        Configuration(1, {}, states),
        views,
        own_domain='near',
    )


@pytest.mark.parametrize(
    ('views', 'chosen'),
    [
        ([view('near', 0), view('far', 8)], 'far'),
        ([view('near', 8), view('far', 64)], 'near'),
        ([view('near', 0, queued=3), view('far', 0, queued=1)], 'far'),
        ([view('near', 8, queued=3), view('far', 8, queued=1)], 'far'),
    ],
)
def test_room_comes_first_then_the_shorter_queue(views, chosen):
    assert choose(views) == chosen


def test_without_room_a_job_goes_where_its_guarantee_is():
    contract = Contract('mill', (), (GuaranteedShape(8, domain='far'),))
    views = [view('near', 0), view('far', 0, queued=9)]
    assert choose(views, contract) == 'far'
    # Control: without the guarantee it goes elsewhere.
    assert choose(views) == 'near'


def test_a_domain_out_of_service_takes_no_job():
    views = [view('near', 8), view('far', 0)]
    states = {'near': DomainState.OUT_OF_SERVICE, 'far': IN_SERVICE}
    assert choose(views, states=states) == 'far'
    with pytest.raises(RefusedError, match='in service'):
        choose(views, states=dict.fromkeys(states, DomainState.OUT_OF_SERVICE))
