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


def make_view(domain, free, queued=0):
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


def choose_for_spec(views, contract=None, states=None):
    states = states or {view.domain: IN_SERVICE for view in views}
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
        ([make_view('near', 0), make_view('far', 8)], 'far'),
        ([make_view('near', 8), make_view('far', 64)], 'near'),
        (
            [make_view('near', 0, queued=3), make_view('far', 0, queued=1)],
            'far',
        ),
        (
            [make_view('near', 8, queued=3), make_view('far', 8, queued=1)],
            'far',
        ),
    ],
)
def test_free_capacity_decides_before_queue_length(views, chosen):
    assert choose_for_spec(views) == chosen


def test_guaranteed_domain_is_chosen_without_free_capacity():
    contract = Contract('mill', (), (GuaranteedShape(8, domain='far'),))
    views = [make_view('near', 0), make_view('far', 0, queued=9)]
    assert choose_for_spec(views, contract) == 'far'
    # Without the guarantee another domain is chosen.
    assert choose_for_spec(views) == 'near'


def test_domain_out_of_service_is_not_chosen():
    views = [make_view('near', 8), make_view('far', 0)]
    states = {'near': DomainState.OUT_OF_SERVICE, 'far': IN_SERVICE}
    assert choose_for_spec(views, states=states) == 'far'
    with pytest.raises(RefusedError, match='in service'):
        choose_for_spec(
            views, states=dict.fromkeys(states, DomainState.OUT_OF_SERVICE)
        )
